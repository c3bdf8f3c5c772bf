/** OpenTelemetry tracing with W3C trace context, from the caller to the endpoint. */

import type {Span, TextMapGetter, TextMapSetter} from '@opentelemetry/api';
import {
  INVALID_SPAN_CONTEXT,
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  isSpanContextValid,
  trace,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import type {SpanProcessor} from '@opentelemetry/sdk-trace-base';
import type {Plugin} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';
import {z} from 'zod';
import {NODE_IDENTITY} from './node_identity.js';
import {settingsSection} from './settings_section.js';

/** Value of a W3C `traceparent` header; undefined without a trace. */
export type TraceParent = string | undefined;

/** A span that has started and not ended. */
export interface ActiveSpan {
  /** Trace context to send with calls made in this span. */
  readonly traceparent: TraceParent;
  set(attribute: string, value: string | number): void;
  /** Ends the span. A failure sets the error status, with the class name as its only detail. */
  end(failure?: unknown): void;
}

/** Role of a span in a remote call. */
export type SpanKindName = 'server' | 'client' | 'internal';

/** Starts spans. */
export interface Tracing {
  start(name: string, parent: TraceParent, kind: SpanKindName): ActiveSpan;
}

/** Injection key of the {@link Tracing}. */
export const TRACING = injectionKey<Tracing>('tracing');

const section = settingsSection(
  'tracing',
  z.strictObject({
    /** OTLP/HTTP endpoint such as `http://10.0.0.9:4318/v1/traces`; without it, spans are not exported. */
    otlp_url: z.url().optional(),
  }),
);

const KINDS: Record<SpanKindName, SpanKind> = {
  server: SpanKind.SERVER,
  client: SpanKind.CLIENT,
  internal: SpanKind.INTERNAL,
};

interface Carrier {
  traceparent?: string;
}

const getter: TextMapGetter<Carrier> = {
  get: (carrier, key) =>
    key === 'traceparent' ? carrier.traceparent : undefined,
  keys: () => ['traceparent'],
};

const setter: TextMapSetter<Carrier> = {
  set: (carrier, key, value) => {
    if (key === 'traceparent') carrier.traceparent = value;
  },
};

/** Provides {@link TRACING}; `processors` receive the spans in addition to the exporter. */
export function createTracingPlugin(
  processors: readonly SpanProcessor[] = [],
): Plugin {
  return {
    name: 'tracing',
    install(kernel) {
      const {otlp_url: url} = kernel.settings(section);
      const allProcessors = [...processors];
      if (url !== undefined) {
        allProcessors.push(
          new BatchSpanProcessor(new OTLPTraceExporter({url})),
        );
      }
      if (allProcessors.length === 0) {
        kernel.provide(TRACING, contextOnlyTracing);
        return;
      }
      const {id, failureDomain} = kernel.inject(NODE_IDENTITY);
      const provider = new BasicTracerProvider({
        resource: resourceFromAttributes({
          'service.name': 'siskinmux',
          'service.instance.id': id,
          'siskinmux.failure_domain': failureDomain,
        }),
        spanProcessors: allProcessors,
      });
      kernel.provide(TRACING, createTracing(provider));
      kernel.addTask({
        name: 'span export',
        start: () => {},
        stop: () => provider.shutdown().catch(() => {}),
      });
    },
  };
}

/** Propagates the caller's trace context without recording spans. */
const contextOnlyTracing: Tracing = {
  start: (_name, parent) => ({
    traceparent: parent,
    set: () => {},
    end: () => {},
  }),
};

function createTracing(provider: BasicTracerProvider): Tracing {
  const tracer = provider.getTracer('siskinmux');
  const propagator = new W3CTraceContextPropagator();
  return {
    start: (name, parent, kind) => {
      const context = propagator.extract(
        ROOT_CONTEXT,
        parent === undefined ? {} : {traceparent: parent},
        getter,
      );
      const span = tracer.startSpan(name, {kind: KINDS[kind]}, context);
      return toActiveSpan(span, traceparentOf(span, propagator));
    },
  };
}

function traceparentOf(
  span: Span,
  propagator: W3CTraceContextPropagator,
): TraceParent {
  if (!isSpanContextValid(span.spanContext() ?? INVALID_SPAN_CONTEXT)) {
    return undefined;
  }
  const carrier: Carrier = {};
  propagator.inject(trace.setSpan(ROOT_CONTEXT, span), carrier, setter);
  return carrier.traceparent;
}

function toActiveSpan(span: Span, traceparent: TraceParent): ActiveSpan {
  return {
    traceparent,
    set: (attribute, value) => span.setAttribute(attribute, value),
    end: failure => {
      if (failure !== undefined) {
        const name = failure instanceof Error ? failure.name : 'failure';
        span.setStatus({code: SpanStatusCode.ERROR, message: name});
      }
      span.end();
    },
  };
}
