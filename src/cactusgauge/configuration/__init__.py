"""Configuration: what operators publish for workspaces."""

from cactusgauge.configuration.acceptance_rule import MAX_LAG, AcceptanceRule, BaseVersionRule, Decision
from cactusgauge.configuration.agent_configuration import AgentConfiguration
from cactusgauge.configuration.catalogue import Catalogue, Problem
from cactusgauge.configuration.change_record import ChangeRecord, new_change_id
from cactusgauge.configuration.config_file import ConfigFile
from cactusgauge.configuration.config_log import STREAM, ConfigLog
from cactusgauge.configuration.config_publisher import ConfigPublisher
from cactusgauge.configuration.config_source import ConfigSource
from cactusgauge.configuration.config_state import ConfigState
from cactusgauge.configuration.configuration import Configuration
from cactusgauge.configuration.deployment import CONFIGURATION_PATH, Deployment, EntryVersion, are_in_force
from cactusgauge.configuration.log_config_source import LogConfigSource
from cactusgauge.configuration.peer_states import NoPeers, PeerStates
from cactusgauge.configuration.snapshot_rule import SnapshotRule, ThroughOffsetRule
from cactusgauge.configuration.state_document import SnapshotRecord, StateDocument
from cactusgauge.configuration.static_config_source import StaticConfigSource
from cactusgauge.configuration.template import Parameter, Template, WorkspaceEntry
from cactusgauge.configuration.verdict import Outcome, Verdict
from cactusgauge.configuration.workspace_config import MAX_SLOTS, OrderingName, PlacementName, WorkspaceConfig

__all__ = [
    "CONFIGURATION_PATH",
    "MAX_LAG",
    "MAX_SLOTS",
    "STREAM",
    "AcceptanceRule",
    "AgentConfiguration",
    "BaseVersionRule",
    "Catalogue",
    "ChangeRecord",
    "ConfigFile",
    "ConfigLog",
    "ConfigPublisher",
    "ConfigSource",
    "ConfigState",
    "Configuration",
    "Decision",
    "Deployment",
    "EntryVersion",
    "LogConfigSource",
    "NoPeers",
    "OrderingName",
    "Outcome",
    "Parameter",
    "PeerStates",
    "PlacementName",
    "Problem",
    "SnapshotRecord",
    "SnapshotRule",
    "StateDocument",
    "StaticConfigSource",
    "Template",
    "ThroughOffsetRule",
    "Verdict",
    "WorkspaceConfig",
    "WorkspaceEntry",
    "are_in_force",
    "new_change_id",
]
