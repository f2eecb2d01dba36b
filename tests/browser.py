"""An operator's browser without scripts: cookies, forms, headings."""

import html.parser
import pathlib
import ssl
import typing
from collections import abc

import aiohttp
import yarl

TIMEOUT_S = 60.0


class Page(typing.NamedTuple):
    """A page as the browser got it.

    Attributes:
        status: HTTP status code.
        path: Where it was shown, after redirections.
        text: Its HTML.
        heading: Its first heading.
        hidden: Names and values of its hidden fields.
        fields: Names and values of all fields, as a browser sends them.
        headers: Of the answer.
    """

    status: int
    path: str
    text: str
    heading: str
    hidden: dict[str, str]
    fields: dict[str, str]
    headers: abc.Mapping[str, str]


class _PageParser(html.parser.HTMLParser):
    """Reads the heading and the fields of a page."""

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
        named = dict(attrs)
        if tag != 'input' or not named.get('name'):
            return
        name, typed = named['name'], named.get('value') or ''
        if named.get('type') == 'checkbox' and 'checked' not in named:
            return
        self.fields[name] = typed
        if named.get('type') == 'hidden':
            self.hidden[name] = typed

    def handle_data(self, data: str) -> None:
        if self._in_heading:
            self.heading += data.strip()


class Browser:
    """One operator's browser, at one console after another."""

    def __init__(self, url: str, ca: pathlib.Path | None = None) -> None:
        """Open at a console; cookies are kept for all of its address.

        Args:
            url: Of the console.
            ca: Certificate to trust instead of the system's; the name in it
                does not count.
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
        held = {cookie.key: cookie.value for cookie in self._cookies}
        self._cookies.clear()
        url = yarl.URL(self.url)
        self._cookies.update_cookies(
            {name: change(token) for name, token in held.items()}, url
        )

    async def async_sign_in(self, name: str, password: str) -> Page:
        page = await self.async_get('/sign-in')
        fields = {**page.hidden, 'name': name, 'password': password}
        return await self.async_post('/sign-in', fields)

    async def async_review(self, *actions: str) -> Page:
        """Edit what is in force and go on to the review page."""
        page = await self.async_get('/edit')
        for action in actions:
            page = await self.async_post(
                '/edit', {**page.hidden, 'action': action}
            )
        return await self.async_post('/review', page.hidden)

    async def async_set_rule(
        self, page: Page, service: str, domain: str, weight: float
    ) -> Page:
        """Set a rule in the draft that a page carries."""
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
        limit = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with (
            aiohttp.ClientSession(
                cookie_jar=self._cookies, timeout=limit
            ) as session,
            session.request(
                method, f'{self.url}{path}', ssl=self._ssl, **options
            ) as response,
        ):
            text = await response.text()
        reader = _PageParser()
        reader.feed(text)
        return Page(
            response.status,
            response.url.path,
            text,
            reader.heading,
            reader.hidden,
            reader.fields,
            response.headers,
        )
