"""OpenTelemetry spans, one a hop, with `traceparent` in and out.

The library is only loaded where spans are wanted: it takes an eighth of a
process's start, and VMs start often.
"""

from collections.abc import Iterator
import contextlib
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export


class Tracer:
    """Starts spans; with no exporter chosen it starts none."""

    def __init__(self, provider: "sdk.TracerProvider | None") -> None:
        self._provider = provider
        self._tracer = provider.get_tracer("ruddergate") if provider else None

    @contextlib.contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[str]:
        """Covers one hop; gives the `traceparent` for the next hop.

        Args:
            name: Name of the hop.
            traceparent: The hop before, or empty.
        """
        if self._tracer is None:
            yield traceparent
            return
        from opentelemetry import trace
        from opentelemetry.trace.propagation import tracecontext

        propagator = tracecontext.TraceContextTextMapPropagator()
        context = propagator.extract({"traceparent": traceparent})
        span = self._tracer.start_span(name, context=context)
        carrier: dict[str, str] = {}
        propagator.inject(carrier, trace.set_span_in_context(span))
        try:
            yield carrier.get("traceparent", "")
        finally:
            span.end()

    def close(self) -> None:
        """Hands over the spans that are still held."""
        if self._provider is not None:
            self._provider.shutdown()


def make_tracer(exporter: str, service: str, vm_id: str) -> Tracer:
    """Returns a tracer.

    Args:
        exporter: `off`, `console` (standard error) or `otlp`, which takes
            its address from OpenTelemetry's own environment variables.
        service: Name of the program.
        vm_id: The VM.
    """
    if exporter == "off":
        return Tracer(None)
    from opentelemetry.sdk import resources
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export

    resource = resources.Resource.create(
        {"service.name": service, "service.instance.id": vm_id}
    )
    provider = sdk.TracerProvider(resource=resource)
    provider.add_span_processor(
        export.BatchSpanProcessor(_make_exporter(exporter))
    )
    return Tracer(provider)


def _make_exporter(exporter: str) -> "export.SpanExporter":
    if exporter == "console":
        from opentelemetry.sdk.trace import export

        return export.ConsoleSpanExporter(out=sys.stderr)
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    return trace_exporter.OTLPSpanExporter()
