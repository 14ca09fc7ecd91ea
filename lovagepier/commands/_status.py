"""`status`: show the nodes, their pools and targets, and the versions in force."""

from lovagepier.commands._client import OperatorClient, add_client_options, print_json
from lovagepier.commands._registry import Command, command

__all__ = ["StatusCommand"]


@command("status")
class StatusCommand(Command):
    """Show the status that every node reports."""

    help = "Show the fleet, its pools and the versions in force."
    examples = "examples:\n  lovagepier status --node http://127.0.0.1:8081"

    def add_options(self, parser):
        """Add the options for the node and the output."""
        add_client_options(parser)

    def run(self, args):
        """Print the status of all nodes that answer."""
        nodes = OperatorClient(args).call("GET", "/v1/status")["nodes"]
        if args.json:
            print_json(nodes)
            return 0
        for node in sorted(nodes, key=lambda item: item["node"]):
            self._print_node(node)
        return 0

    def _print_node(self, node):
        state = "stopping" if node["stopping"] else "serving"
        store = "reachable" if node["store_ok"] else "out of reach"
        print(
            f"{node['node']}  zone {node['zone']}  region {node['region']}  {state}  "
            f"version {node['version']}  running {node['running']}  store {store}  "
            # Builds before format 5 don't state theirs.
            f"build {node.get('build', '?')} (formats {node.get('formats', '?')})"
        )
        for pool in node["pools"]:
            print(
                f"  pool {pool['subject']}/{pool['region']}  "
                f"waiting {pool.get('waiting')}  {pool.get('counts')}"
            )
            for target in pool.get("targets", []):
                # "leaving" is the API's word for draining.
                flags = [flag for flag in ("leaving", "down") if target[flag]]
                print(
                    f"    {target['name']}  {target['version'] or '-'}  "
                    f"{target['in_flight']}/{target['limit']} in flight  "
                    f"{target['ms_a_token']} ms a token  {' '.join(flags)}"
                )
