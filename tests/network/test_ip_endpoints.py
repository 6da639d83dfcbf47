"""Tests that connections to IP addresses use no resolver."""

import unittest

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.web import client

from oriolegate.network.ip_endpoints import IpEndpointFactory


class RecordingReactor:
    """Records connections; has neither a resolver nor threads."""

    def __init__(self):
        self.connections = []

    def connectTCP(  # noqa: N802 (Twisted's name)
        self,
        host,
        port,
        factory,
        timeout,
        bindAddress,  # noqa: N803
    ):
        self.connections.append((host, port, timeout))


class IpEndpointFactoryTest(unittest.TestCase):
    def setUp(self):
        self.reactor = RecordingReactor()

    def endpoint(self, url):
        factory = IpEndpointFactory(self.reactor, timeout_s=3.0)
        return factory.endpointForURI(client.URI.fromBytes(url))

    def test_ip_addresses_are_connected_to_directly(self):
        for url in (b"http://10.0.0.1:9000/x", b"http://[2001:db8::7]:9000/"):
            self.endpoint(url).connect(protocol.Factory())
        self.assertEqual(
            self.reactor.connections,
            [("10.0.0.1", 9000, 3.0), ("2001:db8::7", 9000, 3.0)],
        )

    def test_host_names_are_resolved(self):
        endpoint = self.endpoint(b"http://platform.example:9000/")
        self.assertIsInstance(endpoint, endpoints.HostnameEndpoint)
