"""`bench`: send an open-loop load to a running fleet and report measurements."""

from lovagepier.bench.load import Tier, plan_arrivals, send_load
from lovagepier.bench.measures import measure
from lovagepier.bench.scenarios import SCENARIOS
from lovagepier.client import CallerError
from lovagepier.commands._client import print_json
from lovagepier.commands._registry import Command, command
from lovagepier.errors import UserError

__all__ = ["BenchCommand"]


@command("bench")
class BenchCommand(Command):
    """Send the load of a scenario to a running fleet."""

    help = "Send a scenario's load to a running fleet and print what came of it."
    examples = (
        "examples:\n"
        "  lovagepier bench steady --entry URL \\\n"
        "      --account urgent=KEY --account batch=KEY --model drafter\n\n"
        "scripts/bench starts a fleet of its own and compares policies."
    )

    def add_options(self, parser):
        """Add the options for the scenario, the entry hosts and the accounts."""
        add = parser.add_argument
        add("scenario", choices=sorted(SCENARIOS))
        add("--entry", action="append", required=True, help="URL of an entry host")
        add(
            "--account",
            action="append",
            required=True,
            metavar="TIER=KEY",
            help="a caller's key and the tier it is counted under",
        )
        add("--model", required=True)
        add("--rate", type=float, help="requests a second; default: the scenario's")
        add("--seconds", type=float, default=20.0)
        add("--seed", type=int, default=1)
        add("--json", action="store_true", help="print JSON")

    def run(self, args):
        """Send the load and print the results; return 0 whatever they are."""
        scenario = SCENARIOS[args.scenario]()
        tiers = [self._tier(text, len(args.account)) for text in args.account]
        rate = args.rate or scenario.rate
        arrivals = plan_arrivals(
            tiers, scenario.mix, rate, args.seconds, args.seed, scenario.rate_at
        )
        try:
            sent = send_load(args.entry, arrivals, args.model)
        except CallerError as exc:
            raise UserError(str(exc))
        results = measure(sent, [])
        if args.json:
            print_json(results)
            return 0
        print(f"goodput {results['goodput']:.3f} of {results['sent']} requests")
        for name, value in results["goodput_by_tier"].items():
            print(f"  {name}: {value:.3f}")
        print(f"first token p95 {results['first_token_s']['p95']:.3f} s")
        print(f"not good: {results['not_good']}")
        return 0

    def _tier(self, text, count):
        name, separator, key = text.partition("=")
        if not separator or not key:
            raise UserError(f"--account {text!r} is not TIER=KEY")
        return Tier(f"{name}-{key[:4]}", key, name, 1.0 / count)
