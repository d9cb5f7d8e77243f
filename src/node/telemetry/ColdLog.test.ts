import * as bunyan from 'bunyan';

import * as manualClock from '../../common/ManualClock';
import * as decisionLog from './DecisionLog';

// Guards against a change of what a daemon sends to a server that operators cannot trace.
test('a server that becomes cold, and is warm again, is logged with the source and the share', () => {
  const lines: unknown[] = [];
  const stream = { write: (line: string) => lines.push(JSON.parse(line)) };
  const logger = bunyan.createLogger({ name: 'test', stream: stream as never });
  const log = new decisionLog.DecisionLog(logger, new manualClock.ManualClock());
  const server = { address: '10.0.0.1:80', instance: 'i-1', startedAtMs: 1 };
  log.recordCold({ server, source: 'directory', coldMs: 2_989.6, sharePerSecond: 1.35 });
  log.recordCold({ server, source: 'check', coldMs: 0, sharePerSecond: 1.35 });
  const process = { server: '10.0.0.1:80', instance: 'i-1' };
  expect(lines).toMatchObject([
    { event: 'server.cold', ...process, source: 'directory', coldMs: 2_990, sharePerSecond: 1.35 },
    { event: 'server.warm', ...process, source: 'check' },
  ]);
});
