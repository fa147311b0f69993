"""Backend servers: queues, health and retries."""

from cardamompath_core import submodules

__all__ = [
    "backend_admission",
    "backend_health",
    "backend_results",
    "backend_retries",
    "backends",
    "removed_backends",
    "service_state",
]

__getattr__ = submodules.make_getattr(__name__, __all__)
