/* eslint n/no-sync: off */
// Starts the project's daemons with the command and the settings template of the deploy file, and
// plays the platform's part: a process that ends is started again after a short delay.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as path from 'node:path';
import * as url from 'node:url';

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');

const RESTART_DELAY_MS = 500;

const MEMORY_CHECK_MS = 10;

/** Range of the ports of daemons and of the store. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/** Log lines of a daemon that are not kept: those below the level of a warning. */
const INFORMATION = /"level":[123]0/;

/** Bounds of the pages for a small deployment, as they reach the settings template. */
const BOUNDS = {
  configApply: '2000ms',
  grace: '6s',
  retryBudgetRatio: '0.2',
  budgetSlack: '58',
  budgetWindow: '10s',
  probesPerS: '60',
};

/** Whether a loopback port can be listened on. */
function isFree(port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Returns free loopback ports below those that the system gives to outgoing connections, which could
 * take one before its process listens.
 */
export async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!ports.has(port) && (await isFree(port))) ports.add(port);
  }
  return [...ports];
}

function deployRole() {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  const template = /^template = "(.*)"$/m.exec(text)[1];
  return { run, template: fs.readFileSync(path.join(ROOT, template), 'utf8') };
}

function fill(template, values) {
  return template.replace(/\{\{([^}]+)\}\}/g, (_, name) => {
    if (!(name in values)) throw new Error(`no value for ${name}`);
    return values[name];
  });
}

export class Daemon {
  /**
   * @param options name, zone, front, ready, control (ports), seeds (addresses), store (port),
   * folder (temporary), onExit (called with code and signal).
   */
  constructor(options) {
    this.options = options;
    this.stopped = false;
    this.ends = [];
    this.lines = [];
    this.startedAtMs = 0;
    this.file = path.join(options.folder, `${options.name}.yaml`);
    const address = (port) => `127.0.0.1:${port}`;
    const { template, run } = deployRole();
    this.run = run;
    const text = fill(template, {
      'listen.front': address(options.front),
      'listen.ready': address(options.ready),
      'listen.control': address(options.control),
      zone: options.zone,
      'provider.address': options.storeAddress ?? address(options.store),
      'seeds|json': JSON.stringify(options.seeds),
      ...Object.fromEntries(Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value])),
    });
    fs.writeFileSync(this.file, text);
  }

  start() {
    const [command, ...parameters] = this.run;
    const { PATH, HOME, LANG } = process.env;
    this.startedAtMs = performance.now();
    this.isOverLimit = false;
    const child = childProcess.spawn(command === 'node' ? process.execPath : command, parameters, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LAVENDERSPAR_BOOT: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    const keep = (text) => {
      this.lines.push(
        ...`${text}`.split('\n').filter((line) => line !== '' && !INFORMATION.test(line)),
      );
      this.lines.splice(0, Math.max(0, this.lines.length - 4_000));
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      const end = { atMs: performance.now(), code, signal, isExpected: this.stopped };
      this.ends.push(end);
      this.options.onExit?.(this, end);
      if (!this.stopped) setTimeout(() => !this.stopped && this.start(), RESTART_DELAY_MS);
    });
  }

  /** Whether the readiness check answers 200. */
  isReady() {
    return new Promise((resolve) => {
      const request = http.get(
        { host: '127.0.0.1', port: this.options.ready, path: '/v1/readyz', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.setTimeout(1_000, () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  async waitUntilReady(timeoutMs = 20_000) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      if (await this.isReady()) return true;
      await pause(50);
    }
    return false;
  }

  signal(name) {
    this.child?.kill(name);
  }

  /** Ends the process for good. */
  async stop() {
    this.stopped = true;
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  /** Anonymous memory of the process, in megabytes; 0 if it does not run. */
  anonymousMemoryMb() {
    try {
      const status = fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)[1]) / 1_024;
    } catch {
      return 0;
    }
  }
}

export function pause(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Creates a small fleet: daemons in three zones that know three seeds. */
export async function makeFleet(count, folder, storePort, extra = {}) {
  const ports = await freePorts(count * 3);
  const seeds = [0, 1, 2]
    .filter((index) => index < count)
    .map((index) => `127.0.0.1:${ports[index * 3 + 2]}`);
  return Array.from({ length: count }, (_, index) => {
    const [front, ready, control] = ports.slice(index * 3, index * 3 + 3);
    const name = `edge-${index + 1}`;
    const zone = `zone-${(index % 3) + 1}`;
    return new Daemon({
      name,
      zone,
      front,
      ready,
      control,
      seeds,
      store: storePort,
      folder,
      ...extra,
    });
  });
}

/**
 * Plays the platform's limit on memory: "A process that exceeds `memoryMb` is killed." Counts only
 * anonymous memory, so neither the program file nor bytes in the buffers of sockets.
 */
export function enforceMemoryLimit(fleet, limitMb, onKill) {
  const peaks = new Map();
  const timer = setInterval(() => {
    fleet.forEach((daemon) => {
      const usedMb = daemon.anonymousMemoryMb();
      peaks.set(daemon, Math.max(usedMb, peaks.get(daemon) ?? 0));
      if (usedMb <= limitMb || daemon.isOverLimit) return;
      const over = daemon;
      over.isOverLimit = true;
      onKill(over, usedMb);
      over.signal('SIGKILL');
    });
  }, MEMORY_CHECK_MS);
  return {
    peakMb: () => Math.round(Math.max(...peaks.values())),
    stop: () => clearInterval(timer),
  };
}
