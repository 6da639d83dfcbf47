"""Connects to URLs with an IP address without using the resolver.

Twisted resolves every host in a thread pool by default, even an IP address.
A serving process is single-threaded, so IP addresses bypass the resolver.
"""

import ipaddress
from typing import Any

from twisted.internet import endpoints
from twisted.web import client
from twisted.web import iweb
from zope.interface import implementer


@implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Creates the client endpoints of an HTTP agent.

    Attributes:
        reactor: Twisted's reactor.
        timeout_s: Connect timeout in seconds, the unit of Twisted.
    """

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self.reactor = reactor
        self.timeout_s = timeout_s

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        """Return the endpoint for a URL; host names are still resolved."""
        host = uri.host.decode("ascii").strip("[]")
        try:
            version = ipaddress.ip_address(host).version
        except ValueError:
            return endpoints.HostnameEndpoint(
                self.reactor, host, uri.port, timeout=self.timeout_s
            )
        endpoint_class = (
            endpoints.TCP4ClientEndpoint
            if version == 4
            else endpoints.TCP6ClientEndpoint
        )
        return endpoint_class(
            self.reactor, host, uri.port, timeout=self.timeout_s
        )
