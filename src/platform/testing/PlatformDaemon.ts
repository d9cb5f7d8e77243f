import * as bunyan from 'bunyan';

import * as seededRandom from '../../common/SeededRandom';
import type * as types from '../../common/Types';
import * as routedDaemon from '../../node/RoutedDaemon';
import * as routedSettings from '../../node/settings/RoutedSettings';
import * as systemClock from '../../node/SystemClock';
import * as platformBackendProtocol from '../PlatformBackendProtocol';
import * as platformCallerProtocol from '../PlatformCallerProtocol';
import * as storeClient from '../StoreClient';

/** Ports on the loopback, and the store, of a daemon under test. */
export interface IPlatformDaemonOptions {
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  readonly directoryUrl: string;
  readonly seedPorts?: readonly number[];
  readonly checksPerSecond?: number;
  /** Bound on the requests to cold servers; without it there is none. */
  readonly coldRateFactor?: number;
  readonly clock?: types.IClock;
}

/** Settings and a daemon that uses them, which is not started yet. */
export interface IPlatformDaemon {
  readonly settings: routedSettings.RoutedSettings;
  readonly daemon: routedDaemon.RoutedDaemon;
}

function addressOf(port: number): string {
  return `127.0.0.1:${port}`;
}

/** Makes a daemon of the platform that runs in the process of the test. */
export function makePlatformDaemon(options: IPlatformDaemonOptions): IPlatformDaemon {
  const { directoryUrl, seedPorts = [], checksPerSecond = 600 } = options;
  const parsed = routedSettings.parseRoutedSettings(
    JSON.stringify({
      callerAddress: addressOf(options.callerPort),
      readinessAddress: addressOf(options.readinessPort),
      readinessPath: '/v1/readyz',
      peerAddress: addressOf(options.peerPort),
      failureDomain: 'a',
      directoryUrl,
      seedPeers: seedPorts.map(addressOf),
      stopGrace: '100ms',
      retryFraction: 0.2,
      retryAllowance: 200,
      retryWindow: '10s',
      checksPerSecond,
      coldRateFactor: options.coldRateFactor,
    }),
  );
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  const settings = parsed.value;
  const daemon = new routedDaemon.RoutedDaemon(
    settings,
    {
      source: new storeClient.StoreClient(directoryUrl, new systemClock.SystemClock()),
      callerProtocol: new platformCallerProtocol.PlatformCallerProtocol(),
      backendProtocol: new platformBackendProtocol.PlatformBackendProtocol(),
    },
    bunyan.createLogger({ name: 'test', streams: [] }),
    options.clock ?? new systemClock.SystemClock(),
    new seededRandom.SeededRandom(1),
  );
  return { settings, daemon };
}
