"""Admits parsed calls as requests: API key, workload, length limits."""

from ruddergate import environment
from ruddergate import outcomes
from ruddergate import request as requests
from ruddergate.adapters.callers import call as calls
from ruddergate.entry import view as views
from ruddergate.settings import effective

_NO_SETTINGS_RETRY_MS = 1_000.0


def admit(
    call: calls.Call,
    view: views.View,
    env: environment.Environment,
) -> requests.Request | outcomes.NotServed:
    """Returns the request with its effective settings, or a refusal."""
    if view.in_force.manifest.revision == 0:
        return outcomes.refuse(
            outcomes.Reason.NO_SETTINGS,
            "this VM has no settings yet",
            _NO_SETTINGS_RETRY_MS,
        )
    workspace = view.index.find_workspace(call.key)
    if workspace is None:
        return outcomes.refuse(outcomes.Reason.UNKNOWN_KEY, "unknown key")
    workload = view.index.find_workload(workspace, call.workload)
    is_service = bool(call.service_path)
    if workload is None or (
        is_service != (workload.pool.pool_kind == "service")
    ):
        return outcomes.refuse(
            outcomes.Reason.UNKNOWN_WORKLOAD,
            "the workspace has no such workload",
        )
    if call.prompt_tokens > workload.prompt_tokens_max:
        return outcomes.refuse(
            outcomes.Reason.PROMPT_TOO_LONG,
            f"at most {workload.prompt_tokens_max} tokens are allowed",
        )
    return _make_request(call, workload, env)


def _make_request(
    call: calls.Call,
    workload: effective.Workload,
    env: environment.Environment,
) -> requests.Request:
    now_ms = env.now_ms()
    time_limit_ms = workload.time_limit_ms
    if call.time_limit_ms is not None:
        time_limit_ms = min(time_limit_ms, call.time_limit_ms)
    # A caller can forbid a second run, but not allow one that the settings
    # forbid.
    repeatable = workload.repeatable and call.repeatable is not False
    output_max = workload.output_tokens_max
    expected = min(output_max, workload.output_tokens_typical)
    if call.output_tokens_max is not None:
        output_max = expected = min(output_max, call.output_tokens_max)
    return requests.Request(
        request_id=environment.make_random_id(env.random, 16),
        workload=workload,
        prompt=call.prompt,
        prompt_tokens=call.prompt_tokens,
        output_tokens_max=output_max,
        output_tokens_expected=expected,
        prefix=_scope_prefix(call, workload),
        repeatable=repeatable,
        idempotency_key=call.idempotency_key,
        key_age_ms=call.key_age_ms,
        ticket=call.ticket,
        arrived_ms=now_ms,
        deadline_ms=now_ms + time_limit_ms,
        service_path=call.service_path,
        traceparent=call.traceparent,
    )


def _scope_prefix(
    call: calls.Call, workload: effective.Workload
) -> requests.Prefix | None:
    """Returns the shared prefix, with its name scoped to the workspace."""
    if not call.prefix_name or call.prefix_tokens <= 0:
        return None
    name = f"{workload.workspace}:{call.prefix_name}"
    return requests.Prefix(name, call.prefix_tokens)
