"""Starts the processes of each scenario and stops them afterwards."""

import sys

from fleet import Fleet


def before_scenario(context, scenario):
    context.fleet = Fleet()


def after_step(context, step):
    # The progress formatter prints neither the step that failed nor why.
    if step.status.has_failed():
        sys.stdout.write(f"{step.location}: {step.keyword} {step.name}\n{step.error_message}\n")


def after_scenario(context, scenario):
    if "callers" in context:
        context.callers.stop()
    context.fleet.stop()
