#!/usr/bin/env node
import * as commander from 'commander';

import * as inspect from './commands/inspect';
import * as bench from './commands/bench';
import * as checkConfiguration from './commands/checkConfiguration';
import * as checkSettings from './commands/checkSettings';
import * as serve from './commands/serve';
import * as table from './commands/table';
import * as traceRequest from './commands/traceRequest';

const program = new commander.Command('lavenderspar')
  .description('Load balancer for servers whose load shifts in milliseconds')
  .version('0.1.0');

serve.register(program);
checkSettings.register(program);
checkConfiguration.register(program);
table.register(program);
inspect.register(program);
bench.register(program);
traceRequest.register(program);

program.parseAsync().catch((error: Error) => {
  process.stderr.write(`${error.message}\n`);
  process.exitCode = 1;
});
