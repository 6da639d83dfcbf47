"""Layouts of the two users, with the sizes that the users stated.

The users stated no numbers of shards. The numbers here are chosen so that each
data centre with enough leafs holds every shard.
"""

from oriolegate.standins.layout import Layout
from oriolegate.standins.layout import ServiceLayout

ANGA_PAMOJA = Layout(
    name="anga-pamoja",
    regions={
        "nairobi-a": "nairobi",
        "mombasa-a": "mombasa",
        "kisumu-a": "kisumu",
    },
    between_data_centres_ms=0.5,
    between_regions_ms=20.0,
    hosts={
        "127.0.0.11": "nairobi-a",
        "127.0.0.12": "nairobi-a",
        "127.0.0.21": "mombasa-a",
        "127.0.0.22": "mombasa-a",
        "127.0.0.31": "kisumu-a",
        "127.0.0.32": "kisumu-a",
    },
    services=(
        ServiceLayout(
            name="studio-desk",
            instances=10,
            leafs_per_instance=3,
            slots=4,
            connections=35,
            connection_ms=6.0,
            shards=30,
        ),
        ServiceLayout(
            name="producer-board",
            instances=15,
            leafs_per_instance=3,
            slots=4,
            connections=35,
            connection_ms=6.0,
            shards=45,
        ),
        ServiceLayout(
            name="archive-desk",
            instances=10,
            slots=4,
            connections=110,
            connection_ms=1.0,
            shards=12,
            median_ms=12.0,
        ),
        ServiceLayout(
            name="member-portal",
            instances=5,
            slots=4,
            connections=110,
            connection_ms=1.0,
            shards=6,
            replicas=2,
        ),
    ),
)

CONSORTIUM = Layout(
    name="consortium",
    regions={"scl-a": "scl", "anf-a": "anf", "ccp-a": "ccp"},
    between_data_centres_ms=1.0,
    between_regions_ms=20.0,
    hosts={
        "127.0.0.11": "scl-a",
        "127.0.0.12": "scl-a",
        "127.0.0.21": "anf-a",
        "127.0.0.22": "anf-a",
        "127.0.0.31": "ccp-a",
        "127.0.0.32": "ccp-a",
    },
    services=(
        ServiceLayout(
            name="cobro-core",
            instances=10,
            leafs_per_instance=3,
            slots=2,
            connections=25,
            connection_ms=6.0,
            shards=20,
        ),
        ServiceLayout(
            name="portal-flotas",
            instances=15,
            leafs_per_instance=3,
            slots=2,
            connections=25,
            connection_ms=6.0,
            shards=30,
        ),
        ServiceLayout(
            name="comprobantes",
            instances=5,
            slots=3,
            connections=40,
            connection_ms=1.0,
            shards=4,
            replicas=2,
        ),
        ServiceLayout(
            name="auditoria",
            instances=3,
            slots=3,
            connections=40,
            connection_ms=1.0,
            shards=3,
            replicas=2,
            median_ms=12.0,
        ),
    ),
)

NAMED_LAYOUTS = {layout.name: layout for layout in (ANGA_PAMOJA, CONSORTIUM)}
