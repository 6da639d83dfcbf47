"""Tests of `oriolegate emulate`, its options and its HTTP endpoints."""

import argparse
import io
import json
import os
import unittest
from unittest import mock

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import client
from twisted.web import http_headers

from oriolegate.commands import emulate
from oriolegate.exceptions import SettingsError
from oriolegate.network.platform_client import Ipv4EndpointFactory
from oriolegate.network.platform_client import PlatformClient
from oriolegate.network.platform_client import PlatformClientSettings
from oriolegate.standins import leaf_documents
from tests.reactor_case import on_reactor
from tests.reactor_case import wait_for

QUERY = (
    b"POST /query HTTP/1.1\r\nX-Query: q\r\nX-Shard: 0\r\n"
    b"X-Attempt: 0\r\nX-Index-Version: 1\r\nContent-Length: 0\r\n\r\n"
)


def parse(*flags, **variables):
    environment = {
        f"ORIOLEGATE_EMULATE_{name}": text for name, text in variables.items()
    }
    with mock.patch.dict(os.environ, environment):
        parser = argparse.ArgumentParser()
        emulate.add_options(parser)
        return parser.parse_args(flags)


class ClientConnection(protocol.Protocol):
    """Client connection with deferreds for the first answer and the loss.

    Attributes:
        received: All bytes received.
        answered: Fires with the first bytes received.
        lost: Fires when the connection is lost.
    """

    def __init__(self):
        self.received = b""
        self.answered = defer.Deferred()
        self.lost = defer.Deferred()

    def dataReceived(self, data):  # noqa: N802 (twisted's name)
        self.received += data
        if not self.answered.called:
            self.answered.callback(None)

    def connectionLost(self, reason):  # noqa: N802 (twisted's name)
        self.lost.callback(None)


def stop_listening(port):
    wait_for(defer.maybeDeferred(port.stopListening))


class OptionsTest(unittest.TestCase):
    def test_each_flag_has_a_variable_and_overrides_it(self):
        arguments = parse(
            "--seed",
            "3",
            LAYOUT="consortium",
            HOST="127.0.0.2",
            PLATFORM_PORT="1",
            FIRST_LEAF_PORT="2",
            SEED="9",
        )
        self.assertEqual(
            vars(arguments),
            {
                "layout": "consortium",
                "host": "127.0.0.2",
                "platform_port": "1",
                "first_leaf_port": "2",
                "seed": "3",
            },
        )

    def test_an_invalid_option_is_a_settings_error(self):
        for flags in (
            ("--layout", "no-such-layout"),
            ("--first-leaf-port", "first"),
            ("--seed", "none"),
        ):
            with self.assertRaises(SettingsError):
                emulate.build(parse(*flags), reactor)


class EmulatorTest(unittest.TestCase):
    def setUp(self):
        self.arguments = parse(
            "--layout=consortium", "--platform-port=0", "--first-leaf-port=0"
        )
        self.site, routes = emulate.build(self.arguments, reactor)
        listening = emulate.listen(self.arguments, self.site, routes, reactor)
        for port in listening:
            self.addCleanup(stop_listening, port)
        self.port = listening[0].getHost().port
        self.url = f"http://127.0.0.1:{self.port}"
        self.agent = client.Agent.usingEndpointFactory(
            reactor, Ipv4EndpointFactory(reactor, 5_000)
        )

    async def call(self, method, path, order=None, url=None, headers=None):
        body = None
        if order is not None:
            body = client.FileBodyProducer(
                io.BytesIO(json.dumps(order).encode())
            )
        response = await self.agent.request(
            method.encode(),
            f"{url or self.url}{path}".encode(),
            http_headers.Headers(headers or {}),
            body,
        )
        answer = await client.readBody(response)
        return response.code, json.loads(answer)

    @on_reactor
    async def test_leafs_at_the_addresses_in_the_topology_answer_queries(self):
        platform = PlatformClient(reactor, PlatformClientSettings(self.url))
        self.addCleanup(lambda: wait_for(platform.close()))
        topology = await platform.list("topology")
        self.assertEqual(len(topology.items), 4)
        for stored in topology.items:
            shards = stored.value["versions"]["1"]["shards"]
            leaf = stored.value["leafs"][shards[2][1]]
            status, body = await self.call(
                "POST",
                "/query",
                url=f"http://{leaf['host']}:{leaf['port']}",
                headers={
                    "X-Query": ["q"],
                    "X-Shard": ["2"],
                    "X-Attempt": ["0"],
                    "X-Index-Version": ["1"],
                },
            )
            self.assertEqual(status, 200)
            self.assertEqual(body["results"], leaf_documents.documents(1, 2))
        _, records = await self.call("GET", "/control/records?runs=1")
        self.assertEqual((records["runs"], len(records["records"])), (4, 4))

    @on_reactor
    async def test_control_endpoints_inject_faults(self):
        order = {"action": "drain", "data_centre": "scl-a"}
        answer = await self.call("POST", "/control/leafs", order)
        self.assertEqual(answer, (200, {"leafs": 30}))
        order = {"action": "publish", "service": "auditoria", "shards": 6}
        answer = await self.call("POST", "/control/services", order)
        self.assertEqual(answer, (200, {"current": 2}))
        order = {"outage": True, "writes_per_s": 5, "vms": []}
        status, faults = await self.call("POST", "/control", order)
        self.assertEqual((status, faults["outage"]), (200, True))
        status, _ = await self.call("GET", "/objects/topology/auditoria")
        self.assertEqual(status, 503)
        _, counts = await self.call("GET", "/control/counts")
        self.assertEqual(counts["calls"], {"get": 1})
        self.assertEqual(counts["refused"], {"PLATFORM_DOWN": 1})

    @on_reactor
    async def test_invalid_control_orders_are_refused(self):
        for path, order in (
            ("/control", {"outage": True, "slow": 1.0}),
            ("/control/leafs", {"action": "drain", "leaf": "none"}),
            ("/control/leafs", {"leaf": "auditoria-00-0"}),
            ("/control/services", {"action": "publish", "service": "none"}),
        ):
            status, _ = await self.call("POST", path, order)
            self.assertEqual(status, 400, path)
        self.assertFalse(self.site.store.faults.outage)
        status, _ = await self.call("POST", "/control/other", {})
        self.assertEqual(status, 404)

    @on_reactor
    async def test_a_stopped_leaf_closes_connections_and_rejects_new_ones(
        self,
    ):
        name = "auditoria-00-0"
        leaf = self.site.leafs[name]
        endpoint = endpoints.TCP4ClientEndpoint(reactor, "127.0.0.1", leaf.port)
        existing = await endpoints.connectProtocol(endpoint, ClientConnection())
        existing.transport.write(QUERY)
        await existing.answered
        order = {"action": "stop", "leaf": name}
        await self.call("POST", "/control/leafs", order)
        await existing.lost
        self.assertEqual(leaf.model.connections, set())
        rejected = await endpoints.connectProtocol(endpoint, ClientConnection())
        rejected.transport.write(QUERY)
        await rejected.lost
        self.assertEqual(rejected.received, b"")
        self.assertEqual(leaf.model.counts.queries, 1)

    def test_a_port_in_use_is_a_settings_error(self):
        self.arguments.platform_port = str(self.port)
        site, routes = emulate.build(self.arguments, reactor)
        with self.assertRaises(SettingsError):
            emulate.listen(self.arguments, site, routes, reactor)
