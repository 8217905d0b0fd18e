"""Names the content of a request that is passed on."""

from ruddergate import request as requests
from ruddergate.decisions import call_content


def name_request(request: requests.Request) -> str:
    """Returns the name that all tries of the same call share."""
    payload = request.payload
    return call_content.name_content(
        request.workload.workspace, payload.host, payload.target, payload.body
    )
