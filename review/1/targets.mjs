// The targets of the case, on a thread of their own so that they answer without delay.
import * as workerThreads from 'node:worker_threads';

import * as targets from '../lib/target.mjs';

const { parentPort, workerData } = workerThreads;

for (let index = 0; index < workerData.count; index += 1) {
  const target = new targets.Target({
    ...{ id: `i-${index}`, service: workerData.service, zone: `zone-${(index % 3) + 1}` },
    ...{ slots: 4, workMs: workerData.workMs },
    onRun: ({ id, path }) =>
      parentPort.postMessage({ kind: 'run', id, path, target: `i-${index}` }),
  });
  await target.listen();
  parentPort.postMessage({ kind: 'entry', id: target.id, entry: target.entry });
}
parentPort.postMessage({ kind: 'listening' });
