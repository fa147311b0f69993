"""The daemon: filters, controllers and the interfaces to other systems.

Requests pass a chain of ``filters``; ``controllers`` own the state.  Each
interface has a package that translates messages: ``callers`` and
``operators`` (HTTP), ``backends`` (HTTP), ``peers`` (Thrift), ``recordlog``
(log and instance list) and ``platform``.  ``runtime`` provides actors,
clocks and message delivery.
"""

__all__: list[str] = []
