import type * as bunyan from 'bunyan';

import type * as types from '../../common/Types';
import * as addresses from '../settings/Addresses';
import type * as settings from '../settings/Settings';
import * as openTelemetryTraces from './OpenTelemetryTraces';
import * as statsdMetrics from './StatsdMetrics';
import type * as telemetryTypes from './Types';

/** The exporters that are enabled by the settings. */
export interface IExporters {
  readonly metrics: telemetryTypes.IMetrics | undefined;
  readonly traces: telemetryTypes.ITraces | undefined;
}

/** Creates the exporters that are enabled by the settings. */
export function makeExporters(
  options: settings.Settings,
  logger: bunyan,
  clock: types.IClock,
  random: types.IRandom,
): IExporters {
  const { metricsAddress, tracesUrl, failureDomain, peerAddress } = options;
  const target = metricsAddress === undefined ? undefined : addresses.split(metricsAddress);
  const metrics =
    target &&
    new statsdMetrics.StatsdMetrics(
      target.host,
      target.port,
      { failure_domain: failureDomain, daemon: peerAddress.replaceAll(':', '_') },
      clock,
      random,
      (error) => logger.warn({ err: error }, 'failed to send metrics'),
    );
  const traces =
    tracesUrl === undefined
      ? undefined
      : new openTelemetryTraces.OpenTelemetryTraces(
          peerAddress,
          options.tracesSampleFraction,
          openTelemetryTraces.makeOtlpProcessor(tracesUrl),
          random,
        );
  return { metrics, traces };
}
