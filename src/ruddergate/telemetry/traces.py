"""OpenTelemetry spans, one per hop; propagates `traceparent`.

The library is imported only if spans are exported: importing it takes an eighth
of a process's start time, and VMs start often.
"""

from collections.abc import Iterator
import contextlib
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.sdk import trace as sdk
    from opentelemetry.sdk.trace import export


class Tracer:
    """Starts spans; without a provider it starts none."""

    def __init__(self, provider: "sdk.TracerProvider | None") -> None:
        self._provider = provider
        self._tracer = provider.get_tracer("ruddergate") if provider else None

    @contextlib.contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[str]:
        """Opens a span for one hop.

        Args:
            name: Name of the hop.
            traceparent: Trace context of the previous hop, or empty.

        Yields:
            The `traceparent` for the next hop.
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
        """Exports the spans that are still buffered."""
        if self._provider is not None:
            self._provider.shutdown()


def make_tracer(exporter: str, service: str, vm_id: str) -> Tracer:
    """Returns a tracer.

    Args:
        exporter: `off`, `console` (standard error) or `otlp`, which reads its
            endpoint from the environment variables of OpenTelemetry.
        service: Name of the program.
        vm_id: ID of the VM.
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
