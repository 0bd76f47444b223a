"""A trace sent again: when (schedule), where it may go (safety), what went (journal), by whom (drive)."""
