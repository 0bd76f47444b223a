"""Base of the fleet's processes without a front; a reload passes the file to the companion."""

from __future__ import annotations

from ...config import operator_file
from ...config.texts import Text
from ...upgradable_process import UpgradableProcess


class HeadlessProcess(UpgradableProcess):
    """A process that can be upgraded and has no front."""

    def __init__(self, text: Text) -> None:
        """Creates the process that the operator's file describes."""
        self.text = text
        super().__init__(text.single["name"], text.single, text.waits)

    def read_operator_file(self) -> Text:
        """Reads the file again; raises OSError or ValueError if it can't be read."""
        return operator_file.load(self.text.source)

    def reload(self) -> None:
        """Applies the reloadable settings of the file; a file with an error changes nothing."""
        try:
            self.companion.reread(self.read_operator_file().fleet)
        except (OSError, ValueError) as error:
            self.log.warning("reload_failed", why=str(error))
            return
        self.log.count("reloads")
