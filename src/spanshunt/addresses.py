"""Addresses as text: an IP address and a port."""

import ipaddress
import re

ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
"""Regular expression of an address, ``127.0.0.1:7000``."""

MAX_PORT = 65_535
"""Greatest number of a port."""

_ADDRESS = re.compile(ADDRESS_PATTERN)


def is_address(text: str) -> bool:
    """Return whether a text from outside is an address that can be connected to."""
    if _ADDRESS.fullmatch(text) is None:
        return False
    host, _, port = text.rpartition(":")
    return 1 <= int(port) <= MAX_PORT and _is_host(host)


def _is_host(text: str) -> bool:
    """Return whether a text is the address of a single host, as it is written."""
    try:
        address = ipaddress.IPv4Address(text)
    except ipaddress.AddressValueError:
        return False
    return not (address.is_unspecified or address.is_multicast or address.is_reserved)
