/** Infrastructure of every siskinmux process: identity, settings, log, metrics, traces, listeners. */

export {CLOCK, RANDOM} from './clock_and_random.js';
export type {NodeIdentity} from './node_identity.js';
export {NODE_IDENTITY, nodeIdentityPlugin} from './node_identity.js';
export {
  addressSchema,
  isLoopback,
  portSchema,
  privateListenerSchema,
  settingsSection,
  tlsSchema,
  urlSchema,
} from './settings_section.js';
export type {WriteLine} from './log.js';
export {EMIT_EVENT, createLogPlugin} from './log.js';
export type {AddMetricsPath, MetricsAnswer, QueryFields} from './metrics.js';
export {
  ADD_METRICS_PATH,
  METRICS,
  METRICS_URL,
  REPORT_METRICS_CLIENTS,
  metricsPlugin,
  metricsRegistryPlugin,
} from './metrics.js';
export type {
  ActiveSpan,
  SpanKindName,
  TraceParent,
  Tracing,
} from './tracing.js';
export {TRACING, createTracingPlugin} from './tracing.js';
export type {Listener, ListenerOptions} from './http_listener.js';
export {listen} from './http_listener.js';
export type {TlsFiles} from './tls_files.js';
export {readKeyPair, watchKeyPair} from './tls_files.js';
export type {EventLoopMonitorOptions} from './event_loop_monitor.js';
export {
  EVENT_LOOP_STALLED,
  RUNTIME_EVENTS,
  createEventLoopPlugin,
} from './event_loop_monitor.js';
export type {WriteText} from './line_writer.js';
export {LineWriter, writeToDescriptor} from './line_writer.js';
export type {PeriodicJob} from './periodic_job.js';
export {createPeriodicJob} from './periodic_job.js';
export {renderEventsPage} from './events_page.js';
export {readSettings} from './settings_file.js';
