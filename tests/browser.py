"""A browser without scripts that handles cookies, forms and headings."""

import html.parser
import pathlib
import ssl
import typing
from collections import abc

import aiohttp
import yarl

TIMEOUT_S = 60.0


class Page(typing.NamedTuple):
    """A page received by the browser.

    Attributes:
        status: HTTP status code.
        path: Path after redirects.
        text: HTML of the page.
        heading: Text of the first heading.
        hidden: Names and values of the hidden fields.
        fields: Names and values of all fields, as a browser sends them.
        headers: Headers of the response.
    """

    status: int
    path: str
    text: str
    heading: str
    hidden: dict[str, str]
    fields: dict[str, str]
    headers: abc.Mapping[str, str]


class _PageParser(html.parser.HTMLParser):
    """Parses the heading and the form fields of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.heading = ''
        self.hidden: dict[str, str] = {}
        self.fields: dict[str, str] = {}
        self._in_heading = False

    def handle_starttag(
        self, tag: str, attrs: list[tuple[str, str | None]]
    ) -> None:
        self._in_heading = tag == 'h1'
        attributes = dict(attrs)
        if tag != 'input' or not attributes.get('name'):
            return
        name, field_value = attributes['name'], attributes.get('value') or ''
        if attributes.get('type') == 'checkbox' and 'checked' not in attributes:
            return
        self.fields[name] = field_value
        if attributes.get('type') == 'hidden':
            self.hidden[name] = field_value

    def handle_data(self, data: str) -> None:
        if self._in_heading:
            self.heading += data.strip()


class Browser:
    """Browser of one operator, which may switch between consoles."""

    def __init__(self, url: str, ca: pathlib.Path | None = None) -> None:
        """Open a console; cookies are shared by all ports of its address.

        Args:
            url: URL of the console.
            ca: Certificate to trust instead of those of the system; its host
                name is not checked.
        """
        self.url = url
        self._ssl: ssl.SSLContext | bool = True
        if ca is not None:
            self._ssl = ssl.create_default_context(cafile=ca)
            self._ssl.check_hostname = False
        self._cookies = aiohttp.CookieJar(unsafe=True)

    async def async_get(self, path: str) -> Page:
        return await self._async_request('GET', path)

    async def async_post(
        self,
        path: str,
        fields: abc.Mapping[str, str],
        headers: abc.Mapping[str, str] | None = None,
    ) -> Page:
        return await self._async_request(
            'POST', path, data=fields, headers=headers or {}
        )

    def change_cookie(self, change: abc.Callable[[str], str]) -> None:
        """Change the value of the session cookie."""
        cookies = {cookie.key: cookie.value for cookie in self._cookies}
        self._cookies.clear()
        url = yarl.URL(self.url)
        self._cookies.update_cookies(
            {name: change(token) for name, token in cookies.items()}, url
        )

    async def async_sign_in(self, name: str, password: str) -> Page:
        page = await self.async_get('/sign-in')
        fields = {**page.hidden, 'name': name, 'password': password}
        return await self.async_post('/sign-in', fields)

    async def async_review(self, *actions: str) -> Page:
        """Edit the document in force and open the review page."""
        page = await self.async_get('/edit')
        for action in actions:
            page = await self.async_post(
                '/edit', {**page.hidden, 'action': action}
            )
        return await self.async_post('/review', page.hidden)

    async def async_set_rule(
        self, page: Page, service: str, domain: str, weight: float
    ) -> Page:
        """Set a rule in the draft of a page."""
        fields = {
            **page.hidden,
            'action': 'set',
            'service': service,
            'failure_domain': domain,
            'weight': str(weight),
        }
        return await self.async_post('/rules', fields)

    async def _async_request(
        self, method: str, path: str, **options: typing.Any
    ) -> Page:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with (
            aiohttp.ClientSession(
                cookie_jar=self._cookies, timeout=timeout
            ) as session,
            session.request(
                method, f'{self.url}{path}', ssl=self._ssl, **options
            ) as response,
        ):
            text = await response.text()
        parser = _PageParser()
        parser.feed(text)
        return Page(
            response.status,
            response.url.path,
            text,
            parser.heading,
            parser.hidden,
            parser.fields,
            response.headers,
        )
