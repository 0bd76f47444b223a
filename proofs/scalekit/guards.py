"""Run first by each distributor for BROKEN=guard and BROKEN=resume (fleetkit's FLEET_PATCH): it works without
that guard, and the proof has to fail."""

import dataclasses
import os

from indigohitch.fleet.distribution import distributor_role

TAKEN_OUT = {"guard": "guard_versions", "resume": "resume"}
distributor_role.LIMITS = dataclasses.replace(
    distributor_role.LIMITS, **{TAKEN_OUT[os.environ["SCALE_BROKEN"]]: False}
)
