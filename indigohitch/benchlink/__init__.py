"""Runs coordinators for the bench, a simulator that exchanges lines of JSON with them over a pipe."""
