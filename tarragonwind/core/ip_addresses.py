"""Check IP addresses."""

from __future__ import annotations

import ipaddress


def check_ip_address(text: str) -> str:
    """Return a text that is an IP address; raise `ValueError` for any other, such as a name."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        raise ValueError("not an IP address") from None
    return text
