import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

import * as undici from 'undici';

const children = new Set<childProcess.ChildProcess>();

// Kills the remaining children when this process exits early.
process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));

/** What a process was told about its end. */
export type Ending = 'none' | 'asked' | 'killed';

/** A child process of a test, a demo or a bench. Signals go to its process ID only. */
export class ChildProcess {
  /** Last lines of output, for the report of a failed test. */
  public readonly lines: string[] = [];

  /** Resolves with the exit code, or undefined if a signal ended the process. */
  public readonly exited: Promise<number | undefined>;

  /** Resolves with the first line of output. */
  public readonly firstLine: Promise<string>;

  private readonly child: childProcess.ChildProcess;

  private running = true;

  private requestedEnding: Ending = 'none';

  /**
   * Starts `node` with `parameters`. Its standard input closes when this process ends.
   * @param folder Working folder; by default that of this process.
   */
  public constructor(
    parameters: readonly string[],
    environment: NodeJS.ProcessEnv = {},
    folder?: string,
  ) {
    this.child = childProcess.spawn(process.execPath, parameters, {
      cwd: folder,
      stdio: ['pipe', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    children.add(this.child);
    this.exited = new Promise((resolve) => {
      this.child.once('close', (code) => {
        children.delete(this.child);
        this.running = false;
        resolve(code ?? undefined);
      });
    });
    this.firstLine = new Promise((resolve) => {
      [this.child.stdout, this.child.stderr].forEach((stream) => {
        if (stream === null) return;
        readline.createInterface({ input: stream }).on('line', (line) => {
          resolve(line);
          this.appendLine(line);
        });
      });
    });
  }

  public get isRunning(): boolean {
    return this.running;
  }

  /** Whether the process was killed, asked to end, or neither. */
  public get ending(): Ending {
    return this.requestedEnding;
  }

  public get processId(): number {
    return this.child.pid ?? 0;
  }

  public signal(name: NodeJS.Signals): void {
    if (name === 'SIGKILL') this.requestedEnding = 'killed';
    else if (name === 'SIGTERM' && this.requestedEnding === 'none') this.requestedEnding = 'asked';
    if (this.running) this.child.kill(name);
  }

  /** Kills the process and waits until it has exited. */
  public async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Returns the first line of output as JSON. A stand-in writes it when it is ready. */
  public async readyMessage<T>(): Promise<T> {
    const ended = this.exited.then((code) => {
      throw new Error(`process exited with code ${code}: ${this.lines.join('\n')}`);
    });
    return JSON.parse(await Promise.race([this.firstLine, ended])) as T;
  }

  private appendLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > 400) this.lines.shift();
  }
}

/** A stand-in that runs as a process of its own. */
export class StandInProcess {
  private constructor(
    public readonly child: ChildProcess,
    public readonly port: number,
    private readonly controlPort: number,
  ) {}

  /** Starts a stand-in from the compiled files in `buildFolder` and waits until it listens. */
  public static async start(
    buildFolder: string,
    kind: 'backend' | 'configuration' | 'echo' | 'proxy',
    options: object,
  ): Promise<StandInProcess> {
    const child = new ChildProcess([
      `${buildFolder}/standin/main.js`,
      kind,
      JSON.stringify(options),
    ]);
    const announced = await child.readyMessage<{ port: number; controlPort: number }>();
    return new StandInProcess(child, announced.port, announced.controlPort);
  }

  /** Runs a command through the control port of the stand-in, and returns its result. */
  public async command<T>(name: string, argument: unknown = null): Promise<T> {
    const reply = await undici.request(`http://127.0.0.1:${this.controlPort}/${name}`, {
      method: 'POST',
      body: JSON.stringify(argument),
    });
    const result = (await reply.body.json()) as T;
    if (reply.statusCode !== 200) throw new Error(`${name}: ${JSON.stringify(result)}`);
    return result;
  }
}
