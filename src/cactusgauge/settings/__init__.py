"""Loads and validates the YAML settings files of the daemons."""

from cactusgauge.settings.daemon_settings import AgentSettings, DaemonSettings, EntrySettings
from cactusgauge.settings.finding import Finding
from cactusgauge.settings.settings_loader import SettingsLoader
from cactusgauge.settings.yaml_document import YamlDocument

__all__ = ["AgentSettings", "DaemonSettings", "EntrySettings", "Finding", "SettingsLoader", "YamlDocument"]
