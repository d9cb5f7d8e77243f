import * as nodeEvents from 'node:events';
import * as net from 'node:net';

import * as callCoordinator from '../../../common/call/CallCoordinator';
import type * as callTypes from '../../../common/call/Types';
import * as emitter from '../../../common/Emitter';
import * as manualClock from '../../../common/ManualClock';
import * as requestSuspicion from '../../../common/suspicion/RequestSuspicion';
import * as byteBudget from '../../../common/memory/ByteBudget';
import type * as tableTypes from '../../../common/table/Types';
import * as fakeTransport from '../../../common/testing/FakeTransport';
import * as fixtures from '../../../common/testing/Fixtures';
import * as callerServer from '../CallerServer';
import * as defaultCallerProtocol from '../DefaultCallerProtocol';
import type * as serverTypes from '../Types';

/** Runs a caller server on a loopback port, over a fake transport whose answers the test sets. */
export class CallerServerRig {
  public readonly clock = new manualClock.ManualClock();

  public readonly transport = new fakeTransport.FakeTransport();

  /** Refusals in the order in which they were reported. */
  public readonly refused: serverTypes.IRefusalRecord[] = [];

  /** Service and key of each refusal that the issuer of the key decided. */
  public readonly refusedKeys: string[] = [];

  /** Decision of the key's issuer on a refusal. By default the refusal is confirmed. */
  public keyRefusal: serverTypes.Refusal | undefined;

  public budget = new byteBudget.ByteBudget(byteBudget.UNLIMITED);

  public phase: serverTypes.Phase = 'ready';

  public stopTimes: serverTypes.IStopTimes | undefined;

  /** Reports that the daemon has become ready. */
  public readonly ready = new emitter.Emitter<void>();

  public readonly server: callerServer.CallerServer;

  private readonly table = fixtures.makeTable();

  public constructor() {
    const { table, clock, transport } = this;
    const service = table.services.get('status') as tableTypes.IServiceRow;
    const keyed = { ...service, name: 'keyed', requestKey: 'required' as const };
    (table.services as Map<string, tableTypes.IServiceRow>).set('keyed', keyed);
    const lodgement = { ...service, name: 'lodgement', idempotent: false };
    (table.services as Map<string, tableTypes.IServiceRow>).set('lodgement', lodgement);
    const upload = { ...service, name: 'upload', maxRequestBytes: 100_000 };
    (table.services as Map<string, tableTypes.IServiceRow>).set('upload', upload);
    const { balancer } = fixtures.makeRig();
    const suspicion = new requestSuspicion.RequestSuspicion(clock);
    const coordinator = new callCoordinator.CallCoordinator(transport, suspicion, clock);
    const readBudget = () => this.budget;
    const readPhase = () => this.phase;
    const readStopTimes = () => this.stopTimes;
    this.server = new callerServer.CallerServer({
      daemonState: {
        table,
        get phase() {
          return readPhase();
        },
        get stopTimes() {
          return readStopTimes();
        },
        onReady: this.ready.event,
      },
      clock,
      get budget() {
        return readBudget();
      },
      protocol: new defaultCallerProtocol.DefaultCallerProtocol(),
      beforeRequest: () => undefined,
      runner: {
        start: (call, _key, onOutcome) => coordinator.start(call, balancer, onOutcome),
        refuse: (key, name, refusal) => {
          this.refusedKeys.push(`${name} ${key}`);
          return Promise.resolve(this.keyRefusal ?? refusal);
        },
      },
      issueKeys: (count) => ({ kind: 'issued', keys: [`key ${count}`], lifetimeMs: 9 }),
      observer: {
        onStarted: () => undefined,
        onAnswered: () => undefined,
        onRefused: (record) => this.refused.push(record),
      },
    });
  }

  public listen(): Promise<void> {
    return this.server.listen('127.0.0.1', 0, () => undefined);
  }

  public async close(): Promise<void> {
    const closed = this.server.close();
    this.server.closeNow();
    await closed;
  }

  public connect(): net.Socket {
    const socket = net.connect({ port: this.server.port, host: '127.0.0.1' });
    return socket.on('error', () => undefined);
  }

  /** Sends bytes and returns all bytes received until the server closes the connection. */
  public async exchange(raw: string): Promise<string> {
    const socket = this.connect();
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.write(raw, 'latin1');
    await nodeEvents.once(socket, 'close');
    return Buffer.concat(chunks).toString('latin1');
  }

  /** Waits for the attempt of that number, from 1. */
  public async attempt(number: number): Promise<fakeTransport.IFakeAttempt> {
    while (this.transport.attempts.length < number) await new Promise(setImmediate);
    return this.transport.attempts[number - 1] as fakeTransport.IFakeAttempt;
  }

  /** Answers the attempt of that number, from 1. */
  public async reply(
    number: number,
    status: number,
    headers: readonly string[],
    body = '',
  ): Promise<void> {
    const answer: callTypes.IAnswer = { status, headers, body: Buffer.from(body) };
    (await this.attempt(number)).listener.onEnd({ kind: 'answered', answer });
  }
}
