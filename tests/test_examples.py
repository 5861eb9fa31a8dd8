from __future__ import annotations

import unittest
from pathlib import Path

from bergamothill.version.applychanges import apply_changes
from bergamothill.version.changefile import changes_from_toml
from bergamothill.version.config import Configuration
from scripts.measurement.trace import DEPLOYMENTS

EXAMPLES = Path(__file__).resolve().parent.parent / "docs" / "examples"


class ExampleTests(unittest.TestCase):
    def test_each_simulated_deployment_has_the_weights_of_its_example(self) -> None:
        for name, deployment in DEPLOYMENTS.items():
            text = (EXAMPLES / f"{name}.toml").read_text(encoding="utf-8")
            changes = changes_from_toml(text, Configuration())
            configuration = apply_changes(Configuration(), changes)
            self.assertEqual(deployment.weights, configuration.defaults.weights)
