"""A process of the fleet without a front: its file is read again by what lives in it."""

from __future__ import annotations

from ...config import operator_file
from ...config.texts import Text
from ...upgradable_process import UpgradableProcess


class HeadlessProcess(UpgradableProcess):
    def __init__(self, text: Text) -> None:
        self.text = text
        super().__init__(text.single["name"], text.single, text.waits)

    def read_operator_file(self) -> Text:
        return operator_file.load(self.text.source)

    def reload(self) -> None:
        """What of the file may change while it runs; a file with a mistake changes nothing."""
        try:
            self.companion.reread(self.read_operator_file().fleet)
        except (OSError, ValueError) as bad:
            self.log.warning("reload_failed", why=str(bad))
            return
        self.log.count("reloads")
