/* eslint n/no-sync: off, n/no-process-exit: off */
// Frame of a case: a small deployment of stand-ins and daemons, the record, and the verdict.
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as daemons from './daemons.mjs';
import * as stores from './store.mjs';
import * as targets from './target.mjs';

/** A case that has not ended by then could not run. */
const LIMIT_MS = 112_000;

/** Bound `stable`: a machine is in touch once its process has run for so long. */
export const STABLE_MS = 3_000;

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_CANNOT_RUN = 2;

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

export class Case {
  constructor(fileUrl) {
    this.caseFolder = path.dirname(url.fileURLToPath(fileUrl));
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.record = fs.createWriteStream(path.join(this.caseFolder, 'record.txt'));
    this.startMs = performance.now();
    this.store = new stores.Store();
    this.targets = [];
    this.fleet = [];
  }

  /** Writes a line of the record: seconds since the start, what, and details. */
  note(what, details = {}) {
    const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    this.record.write(`${seconds} ${what} ${JSON.stringify(details)}\n`);
  }

  /** Starts the store with a configuration. Each route is for the service of its host. */
  async openStore(routes) {
    [this.storePort] = await daemons.freePorts(1);
    await this.store.listen(this.storePort);
    const services = [...new Set(routes.map(({ service }) => service))];
    this.services = services;
    this.routes = routes;
    this.store.put('op/config', targets.configuration(7, services, routes));
  }

  async addTarget(options) {
    const target = new targets.Target({
      ...options,
      onRun: (run, ...rest) => {
        this.note('run', {
          id: run.id,
          target: run.target,
          method: run.method,
          bodyBytes: run.bodyBytes,
        });
        options.onRun?.(run, ...rest);
      },
    });
    await target.listen();
    this.targets.push(target);
    this.store.put(`servers/${target.id}`, target.entry);
    return target;
  }

  async startFleet(count, extra = {}) {
    this.fleet = await daemons.makeFleet(count, this.folder, this.storePort, {
      ...extra,
      onExit: (daemon, end) => {
        this.note('process ended', {
          daemon: daemon.options.name,
          code: end.code,
          signal: end.signal,
          isExpected: end.isExpected,
        });
        // The last lines of an end that nobody caused show its reason.
        if (!end.isExpected)
          daemon.lines
            .filter((line) => !line.startsWith('{'))
            .slice(-8)
            .forEach((line) => this.note('  output', { line: line.slice(0, 160) }));
        extra.onExit?.(daemon, end);
      },
    });
    this.fleet.forEach((daemon) => daemon.start());
    const areReady = await Promise.all(this.fleet.map((daemon) => daemon.waitUntilReady()));
    if (areReady.includes(false)) throw new Error('a daemon did not become ready');
    await daemons.pause(STABLE_MS + 500);
  }

  async close() {
    await Promise.all(this.fleet.map((daemon) => daemon.stop()));
    this.targets.forEach((target) => target.close());
    this.store.close();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: `play` returns whether the rule was broken, and a summary. */
export async function run(fileUrl, play) {
  const current = new Case(fileUrl);
  let code = EXIT_CANNOT_RUN;
  const limit = setTimeout(async () => {
    current.note('could not run', { reason: 'the time of the case is over' });
    await current.close();
    process.exit(EXIT_CANNOT_RUN);
  }, LIMIT_MS);
  try {
    const { isBroken, summary } = await play(current);
    code = isBroken ? EXIT_BROKEN : EXIT_HELD;
    const verdict = { trouble: hasTrouble, ...summary };
    current.note(isBroken ? 'RULE BROKEN' : 'rule held', verdict);
    process.stdout.write(`${isBroken ? 'RULE BROKEN' : 'rule held'} ${JSON.stringify(verdict)}\n`);
  } catch (error) {
    current.note('could not run', { reason: error.stack });
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  clearTimeout(limit);
  await current.close();
  await new Promise((resolve) => current.record.end(resolve));
  process.exit(code);
}
