"""Limit on the threads that nng starts in a process."""

from pynng import _nng  # pynng has no public interface for these parameters

from kumquatport.connection.control import const


def limit_nng_threads() -> None:
    """Make nng start a few threads instead of several per core.

    Has no effect once the first socket of the process is open.
    """
    for parameter in (
        _nng.lib.NNG_INIT_NUM_TASK_THREADS,
        _nng.lib.NNG_INIT_MAX_TASK_THREADS,
    ):
        _nng.lib.nng_init_set_parameter(parameter, const.NNG_TASK_THREADS)
    for parameter in (
        _nng.lib.NNG_INIT_NUM_EXPIRE_THREADS,
        _nng.lib.NNG_INIT_MAX_EXPIRE_THREADS,
        _nng.lib.NNG_INIT_NUM_POLLER_THREADS,
        _nng.lib.NNG_INIT_MAX_POLLER_THREADS,
        _nng.lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        _nng.lib.nng_init_set_parameter(parameter, const.NNG_OTHER_THREADS)
