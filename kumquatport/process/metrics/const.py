"""Names, limits and intervals of the metrics."""

import typing

COUNT_FLOWS_OPENED: typing.Final = 'flows.opened'
COUNT_FLOWS_CLOSED: typing.Final = 'flows.closed'

COUNT_CONTROL_BYTES_SENT: typing.Final = 'control.bytes_sent'
COUNT_CONTROL_BYTES_RECEIVED: typing.Final = 'control.bytes_received'

GAUGE_CONTROL_CPU_S: typing.Final = 'control.cpu_s'
GAUGE_CONTROL_LOOP_CPU_S: typing.Final = 'control.loop_cpu_s'
GAUGE_CPU_S: typing.Final = 'cpu_s'
GAUGE_FLOWS_OPEN: typing.Final = 'flows.open'
GAUGE_REQUESTS_IN_PROGRESS: typing.Final = 'requests.in_progress'
GAUGE_RESIDENT_BYTES: typing.Final = 'resident_bytes'

OTHER_LABEL: typing.Final = 'other'

FLUSH_INTERVAL_S: typing.Final = 1.0
MAX_UDP_BYTES: typing.Final = 1400
MAX_HISTOGRAMS: typing.Final = 64

MIN_LATENCY_US: typing.Final = 1
MAX_LATENCY_US: typing.Final = 3_600_000_000
SIGNIFICANT_FIGURES: typing.Final = 2

PERCENTILES: typing.Final = (
    ('p50', 50.0),
    ('p90', 90.0),
    ('p99', 99.0),
    ('p999', 99.9),
)
