"""The entry instance: filters, controllers and the boundaries.

``filters`` handle requests, ``controllers`` hold state, and one folder
for each boundary translates messages: ``callers`` and ``operators``
(HTTP), ``backends`` (HTTP), ``peers`` (Thrift), ``platform`` (log and
instance list).  ``runtime`` gives tasks their threads and clocks.
"""

__all__: list[str] = []
