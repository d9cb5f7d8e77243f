import * as seededRandom from '../common/SeededRandom';
import * as systemClock from '../node/SystemClock';
import * as backendServer from './BackendServer';
import * as bareProxy from './BareProxy';
import * as configurationService from './ConfigurationService';
import * as controlServer from './ControlServer';
import * as echoServer from './EchoServer';
import type * as standinTypes from './Types';

interface IBackendArguments extends standinTypes.IBackendOptions {
  readonly seed: number;
  readonly port?: number;
}

type ConfigurationArguments = configurationService.IConfigurationOptions;

function announcePorts(port: number, controlPort: number): void {
  process.stdout.write(`${JSON.stringify({ port, controlPort })}\n`);
}

async function runBackend(options: IBackendArguments): Promise<void> {
  const clock = new systemClock.SystemClock();
  const random = new seededRandom.SeededRandom(options.seed);
  const server = new backendServer.BackendServer(options, { clock, random });
  server.onCrash(() => process.kill(process.pid, 'SIGKILL'));
  const control = new controlServer.ControlServer({
    faults: (faults: Partial<standinTypes.IBackendFaults>) => server.setFaults(faults),
    clearFaults: () => server.clearFaults(),
    draining: (draining: boolean) => server.setDraining(draining),
    silence: () => server.silenceConnections(),
    record: () => server.record,
  });
  announcePorts(await server.listen(options.port), await control.listen());
}

async function runConfiguration(options: ConfigurationArguments): Promise<void> {
  const clock = new systemClock.SystemClock();
  const service = new configurationService.ConfigurationService(clock, options);
  const control = new controlServer.ControlServer({
    publish: ({ name, text }: { name: string; text: string }) => service.publish(name, text),
    mode: ({ mode, readers }: { mode: configurationService.ServiceMode; readers?: string[] }) =>
      service.setMode(mode, readers),
    calls: () => ({ total: service.calls, bySecond: [...service.callsBySecond.values()] }),
  });
  announcePorts(await service.listen(), await control.listen());
}

async function runEcho(): Promise<void> {
  announcePorts(await echoServer.startEchoServer(), 0);
}

async function runProxy(options: { readonly addresses: readonly string[] }): Promise<void> {
  announcePorts(await new bareProxy.BareProxy(options.addresses).listen(), 0);
}

async function main(): Promise<void> {
  const [kind, options = '{}'] = process.argv.slice(2);
  if (kind === 'backend') await runBackend(JSON.parse(options) as IBackendArguments);
  else if (kind === 'configuration') {
    await runConfiguration(JSON.parse(options) as ConfigurationArguments);
  } else if (kind === 'echo') await runEcho();
  else if (kind === 'proxy') await runProxy(JSON.parse(options) as { addresses: string[] });
  else throw new Error(`unknown stand-in "${kind}"`);
  // Exits when the parent process exits, which closes this pipe.
  process.stdin.once('end', () => process.kill(process.pid, 'SIGTERM')).resume();
}

main().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exitCode = 1;
});
