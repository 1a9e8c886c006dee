"""Test that a version of the same content costs the node no more than its number."""

from __future__ import annotations

from plankspindle_core.endpoint import Endpoint
from plankspindle_daemon.peer_messages.content_messages import ContentChunk
from plankspindle_daemon.peer_messages.content_messages import ContentRequest
from plankspindle_daemon.peer_messages.peer_message import SendToPeer
from plankspindle_testkit.builders import build_configuration
from plankspindle_testkit.builders import build_member
from plankspindle_testkit.fleet_node import Fleet
from plankspindle_testkit.fleet_node import build_empty_node
from plankspindle_testkit.versions import build_version

REPLY_TO = Endpoint("127.0.0.1", 1)


# A restarted VM announces the highest number for what all others have in force.
def test_same_content_under_higher_number_is_not_applied_again() -> None:
    fleet = Fleet(vms=1, upstreams=2)
    node, restarted = build_empty_node(fleet), build_empty_node(fleet)
    configuration = build_configuration()
    lower, higher = build_version(3, number=50), build_version(3, number=60)
    node.adopt(configuration, version=lower, now=1.0)
    restarted.adopt(build_configuration(), version=higher, now=1.0)
    node.membership.members_by_name["restarted"] = build_member(
        "restarted", failure_domain=node.failure_domain
    )
    routes = node.routes
    (asked,) = node.versions.receive_version("restarted", higher, 2.0)
    assert isinstance(asked.message, ContentRequest)
    (answer,) = restarted.versions.answer(asked.message, REPLY_TO, 2.0)
    assert isinstance(answer.message, ContentChunk)
    effects = node.receive_content_chunk(answer.message, 2.0)
    assert node.version == higher
    assert node.configuration is configuration
    assert node.routes is routes
    assert not [each for each in effects if isinstance(each, SendToPeer)]
