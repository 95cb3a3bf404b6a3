"""Configuration: what operators publish for workspaces."""

from cactusgauge.configuration.config_source import ConfigSource
from cactusgauge.configuration.configuration import Configuration
from cactusgauge.configuration.static_config_source import StaticConfigSource
from cactusgauge.configuration.workspace_config import OrderingName, PlacementName, WorkspaceConfig

__all__ = ["ConfigSource", "Configuration", "OrderingName", "PlacementName", "StaticConfigSource", "WorkspaceConfig"]
