"""Configuration of templates and workspaces, published by operators on the platform log."""

from cactusgauge.configuration.acceptance_rule import MAX_LAG, AcceptanceRule, BaseVersionRule, Decision
from cactusgauge.configuration.agent_configuration import AgentConfiguration
from cactusgauge.configuration.catalogue import Catalogue, Problem
from cactusgauge.configuration.change_record import MAX_ID_CHARS, NO_VERSION, ChangeRecord, new_change_id
from cactusgauge.configuration.config_file import ConfigFile
from cactusgauge.configuration.config_log import STREAM, ConfigLog
from cactusgauge.configuration.config_publisher import ConfigPublisher
from cactusgauge.configuration.config_source import ConfigSource
from cactusgauge.configuration.config_state import ConfigState
from cactusgauge.configuration.configuration import Configuration
from cactusgauge.configuration.log_config_source import LogConfigSource
from cactusgauge.configuration.peer_states import NoPeers, PeerStates
from cactusgauge.configuration.snapshot_rule import SnapshotRule, ThroughOffsetRule
from cactusgauge.configuration.state_document import CONFIGURATION_PATH, SnapshotRecord, StateDocument
from cactusgauge.configuration.static_config_source import StaticConfigSource
from cactusgauge.configuration.template import Parameter, Template, WorkspaceEntry
from cactusgauge.configuration.verdict import Outcome, Verdict
from cactusgauge.configuration.workspace_config import MAX_SLOTS, OrderingName, PlacementName, WorkspaceConfig

__all__ = [
    "CONFIGURATION_PATH",
    "MAX_ID_CHARS",
    "MAX_LAG",
    "MAX_SLOTS",
    "NO_VERSION",
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
    "new_change_id",
]
