"""What nodes check when a link between them opens: TLS, keys and formats."""

import logging
import ssl

from lovagepier import formats, keys
from lovagepier.logs import component_logger

__all__ = ["LIBRARY_LOG", "check_peer", "client_tls", "log_formats", "server_tls"]

# Passed to the WebSocket library, whose own lines are not wanted.
LIBRARY_LOG = logging.getLogger("lovagepier.websockets")
LIBRARY_LOG.setLevel(logging.CRITICAL)

_log = component_logger("peers")


def server_tls(cfg):
    """Return the TLS context to accept links with, None without a certificate."""
    if not cfg.peers_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(cfg.peers_certificate, cfg.peers_private_key)
    return context


def client_tls(cfg):
    """Return the TLS context to open links with, None without a certificate."""
    if not cfg.peers_certificate:
        return None
    context = ssl.create_default_context(cafile=cfg.peers_certificate)
    context.check_hostname = False
    return context


def check_peer(cfg, connection, request):
    """Return the response that refuses a peer, None for one that may link."""
    token = keys.bearer_token(request.headers.get("Authorization"))
    hashes = [keys.digest(cfg.peers_key), *cfg.peers_accept_key_hashes]
    if not keys.matches_any(token, hashes):
        _log.warning("refused a peer with an unknown key")
        return connection.respond(401, "unknown peer key\n")
    peer_formats = formats.read_headers(request.headers)
    log_formats(peer_formats, connection.remote_address)
    if peer_formats.number is None:
        return formats.refusal(connection)
    return None


def log_formats(peer_formats, address):
    """Log the formats of a peer if there is something wrong with them."""
    if peer_formats.fault:
        _log.warning(
            "formats of a peer",
            address=":".join(map(str, address[:2])),
            build=peer_formats.build,
            formats=peer_formats.text,
            own_formats=formats.OWN_FORMATS,
            why=peer_formats.fault,
        )
