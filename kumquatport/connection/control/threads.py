"""Number of threads that nng starts in a process."""

from pynng import _nng  # the parameters have no public form in pynng

from kumquatport.connection.control import const


def limit_nng_threads() -> None:
    """Have nng start few threads instead of several for each core.

    Works before the first socket of the process is opened and changes
    nothing after that.
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
