from collections.abc import Callable

import pytest

from corianderwall.mesh.directory import Directory
from corianderwall.mesh.messages import EndpointRecord, EndpointState, NodeRecord
from corianderwall.mesh.settings import HeaderNames

MakeNode = Callable[..., NodeRecord]
MakeEndpoint = Callable[..., EndpointRecord]


def build_node(name: str = "own", *, zone: str = "a", incarnation: int = 1) -> NodeRecord:
    return NodeRecord(name=name, zone=zone, host="127.0.0.1", port=1, incarnation=incarnation)


def build_endpoint(
    name: str = "i-1",
    *,
    node: str = "n1",
    zone: str = "a",
    service: str = "s",
    version: str = "v1",
    born: int = 1,
    revision: int = 0,
    state: EndpointState = EndpointState.READY,
    slots: int = 4,
) -> EndpointRecord:
    return EndpointRecord(
        id=name,
        service=service,
        version=version,
        node=node,
        zone=zone,
        slots=slots,
        born_unix_ms=born,
        revision=revision,
        state=state,
    )


@pytest.fixture
def make_node() -> MakeNode:
    return build_node


@pytest.fixture
def make_endpoint() -> MakeEndpoint:
    return build_endpoint


@pytest.fixture
def header_names() -> HeaderNames:
    return HeaderNames(
        request_id=b"request-id",
        deadline_ms=b"deadline-ms",
        expected_instance=b"expected-instance",
        instance_id=b"instance-id",
        not_run=b"not-executed",
        caller=b"caller-service",
        limit=b"server-limit",
        leaving=b"server-leaving",
    )


@pytest.fixture
def directory() -> Directory:
    return Directory(build_node())
