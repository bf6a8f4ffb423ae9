"""Commands for services, versions, routes and subscribers."""

import click

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.session import Session

FULL_SHARE_PERMILLE = 1000


def parse_pairs(texts: tuple[str, ...], option: str) -> list[tuple[str, str]]:
    """Parse NAME=VALUE texts into pairs."""
    pairs = []
    for text in texts:
        name, separator, value = text.partition("=")
        if not separator or not name:
            raise click.BadParameter(f"{text!r} is not NAME=VALUE", param_hint=option)
        pairs.append((name, value))
    return pairs


def parse_split(texts: tuple[str, ...], versions: tuple[str, ...]) -> list[pb.VersionShare]:
    """Parse VERSION=PERMILLE texts; without any, the first version gets all calls."""
    if not texts:
        return [pb.VersionShare(version=versions[0], permille=FULL_SHARE_PERMILLE)]
    shares = []
    for version, permille in parse_pairs(texts, "--split"):
        if not permille.isdigit() or int(permille) > FULL_SHARE_PERMILLE:
            raise click.BadParameter(f"{permille!r} is not 0 to 1000", param_hint="--split")
        shares.append(pb.VersionShare(version=version, permille=int(permille)))
    return shares


@click.group()
def service() -> None:
    """Services and how their calls are split over versions."""


@service.command("put")
@click.argument("name")
@click.option("--version", "versions", multiple=True, required=True, help="May be repeated.")
@click.option("--split", multiple=True, metavar="VERSION=PERMILLE", help="Sums to 1000.")
@click.pass_obj
def put_service(
    session: Session, name: str, versions: tuple[str, ...], split: tuple[str, ...]
) -> None:
    """Create a service or replace its versions and split.

    Example: corianderwall ctl service put placements --version v1
    """
    message = pb.Service(name=name, versions=versions, split=parse_split(split, versions))
    session.change("PutService", pb.PutServiceRequest(service=message))


@service.command("delete")
@click.argument("name")
@click.pass_obj
def delete_service(session: Session, name: str) -> None:
    """Delete a service that no route refers to.

    Example: corianderwall ctl service delete placements
    """
    session.change("DeleteService", pb.DeleteRequest(name=name))


@service.command("list")
@click.pass_obj
def list_services(session: Session) -> None:
    """List the services.

    Example: corianderwall ctl --output json service list
    """
    config = session.read_config()
    rows = [
        [
            each.name,
            " ".join(each.versions),
            " ".join(f"{s.version}={s.permille}" for s in each.split),
        ]
        for each in config.services
    ]
    session.show(pb.Config(services=config.services), ["service", "versions", "split"], rows)


@click.group()
def version() -> None:
    """Upstream versions of a service."""


@version.command("add")
@click.argument("service_name", metavar="SERVICE")
@click.argument("version_name", metavar="VERSION")
@click.pass_obj
def add_version(session: Session, service_name: str, version_name: str) -> None:
    """Add a version that receives no calls yet.

    Example: corianderwall ctl version add placements v2
    """
    session.change("AddVersion", pb.VersionRequest(service=service_name, version=version_name))


@version.command("remove")
@click.argument("service_name", metavar="SERVICE")
@click.argument("version_name", metavar="VERSION")
@click.pass_obj
def remove_version(session: Session, service_name: str, version_name: str) -> None:
    """Remove a version that receives no calls.

    Example: corianderwall ctl version remove placements v1
    """
    session.change("RemoveVersion", pb.VersionRequest(service=service_name, version=version_name))


@version.command("list")
@click.argument("service_name", metavar="SERVICE")
@click.pass_obj
def list_versions(session: Session, service_name: str) -> None:
    """List the versions of a service and their shares.

    Example: corianderwall ctl version list placements
    """
    message = session.find_by_name(session.read_config().services, service_name)
    shares = {share.version: share.permille for share in message.split}
    rows = [[name, shares.get(name, 0)] for name in message.versions]
    session.show(message, ["version", "permille"], rows)


@click.group()
def route() -> None:
    """Routes, which send matching calls to a service."""


@route.command("put")
@click.argument("name")
@click.option("--service", "service_name", required=True)
@click.option("--host", default="", help="Any host if absent.")
@click.option("--path-prefix", default="/", show_default=True)
@click.option("--method", "methods", multiple=True, help="Any method if absent.")
@click.option("--header", "headers", multiple=True, metavar="NAME=VALUE")
@click.option("--pin", default="", metavar="VERSION", help="Send matching calls to this version.")
@click.option(
    "--idempotent/--not-idempotent", default=None, help="Decided by the method if absent."
)
@click.option("--timeout-ms", type=click.IntRange(1), default=None)
@click.option("--sticky-header", default="", help="Equal values go to the same version.")
@click.pass_obj
def put_route(
    session: Session,
    name: str,
    service_name: str,
    host: str,
    path_prefix: str,
    methods: tuple[str, ...],
    headers: tuple[str, ...],
    pin: str,
    idempotent: bool | None,
    timeout_ms: int | None,
    sticky_header: str,
) -> None:
    """Create or replace a route.

    Example: corianderwall ctl route put accept --service placements --path-prefix /accept
    """
    pairs = parse_pairs(headers, "--header")
    message = pb.Route(
        name=name,
        service=service_name,
        host=host,
        path_prefix=path_prefix,
        methods=[method.upper() for method in methods],
        headers=[pb.HeaderMatch(name=key.lower(), value=value) for key, value in pairs],
        pinned_version=pin,
        idempotent=idempotent,
        timeout_ms=timeout_ms,
        sticky_header=sticky_header,
    )
    session.change("PutRoute", pb.PutRouteRequest(route=message))


@route.command("delete")
@click.argument("name")
@click.pass_obj
def delete_route(session: Session, name: str) -> None:
    """Delete a route.

    Example: corianderwall ctl route delete accept
    """
    session.change("DeleteRoute", pb.DeleteRequest(name=name))


@route.command("list")
@click.pass_obj
def list_routes(session: Session) -> None:
    """List the routes.

    Example: corianderwall ctl route list
    """
    config = session.read_config()
    rows = [
        [each.name, each.service, each.host or "*", each.path_prefix, " ".join(each.methods) or "*"]
        for each in config.routes
    ]
    columns = ["route", "service", "host", "path", "methods"]
    session.show(pb.Config(routes=config.routes), columns, rows)


@click.group()
def subscriber() -> None:
    """Subscribers and their shares of the capacity."""


@subscriber.command("put")
@click.argument("name")
@click.option("--share", type=click.IntRange(1), default=1, show_default=True)
@click.pass_obj
def put_subscriber(session: Session, name: str, share: int) -> None:
    """Create or replace a subscriber.

    Example: corianderwall ctl subscriber put growers --share 2
    """
    message = pb.Subscriber(name=name, share=share)
    session.change("PutSubscriber", pb.PutSubscriberRequest(subscriber=message))


@subscriber.command("delete")
@click.argument("name")
@click.pass_obj
def delete_subscriber(session: Session, name: str) -> None:
    """Delete a subscriber.

    Example: corianderwall ctl subscriber delete growers
    """
    session.change("DeleteSubscriber", pb.DeleteRequest(name=name))


@subscriber.command("list")
@click.pass_obj
def list_subscribers(session: Session) -> None:
    """List the subscribers.

    Example: corianderwall ctl subscriber list
    """
    config = session.read_config()
    rows = [[each.name, each.share] for each in config.subscribers]
    session.show(pb.Config(subscribers=config.subscribers), ["subscriber", "share"], rows)
