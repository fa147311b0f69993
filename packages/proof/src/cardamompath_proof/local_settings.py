"""Settings of one instance that listens on free loopback ports."""

from __future__ import annotations

import pathlib
import tempfile

from cardamompathd.settings import loading

__all__ = [
    "load",
]

SETTINGS = """
[instance]
name = entry-1
domain = ciudad-vieja
leave_notice = 0
[callers]
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
[peers]
listen = 127.0.0.1:0
[platform]
address = {platform}
"""


def load(platform: str) -> loading.Settings:
    """Return validated settings.

    Parameters
    ----------
    platform : str
        Address of the platform, as host and port.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "local.ini")
        file.write_text(SETTINGS.format(platform=platform))
        return loading.load([str(file)]).unwrap()
