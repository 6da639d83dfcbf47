"""Connections to URLs that name an IP number, without resolving it.

Twisted's default resolves every host in a pool of threads, also an IP number.
A serving process has one thread, so an IP number is connected to directly.
"""

import ipaddress
from typing import Any

from twisted.internet import endpoints
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer


@implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Makes the endpoints of an HTTP agent.

    Attributes:
        reactor: Twisted's reactor.
        timeout_s: Longest time to connect, in Twisted's unit.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self.reactor = reactor
        self.timeout_s = timeout_s

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        """Return the endpoint of a URL; a host name is still resolved."""
        host = uri.host.decode("ascii").strip("[]")
        try:
            version = ipaddress.ip_address(host).version
        except ValueError:
            return endpoints.HostnameEndpoint(
                self.reactor, host, uri.port, timeout=self.timeout_s
            )
        kind = (
            endpoints.TCP4ClientEndpoint
            if version == 4
            else endpoints.TCP6ClientEndpoint
        )
        return kind(self.reactor, host, uri.port, timeout=self.timeout_s)
