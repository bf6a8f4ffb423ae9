"""Starts the processes of each scenario and stops them afterwards."""

from fleet import Fleet


def before_scenario(context, scenario):
    context.fleet = Fleet()


def after_scenario(context, scenario):
    if "callers" in context:
        context.callers.stop()
    context.fleet.stop()
