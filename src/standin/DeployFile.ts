import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as templates from './renderTemplate';

const FILE = 'deploy/system.toml';

/** Files and folders that the build reads. */
const BUILD_INPUTS = [
  'src',
  'deploy',
  'package.json',
  'package-lock.json',
  'tsconfig.json',
  'node_modules',
];

/** Maximum size of the output of a build, in bytes. */
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

/** Returns the folder of the repository, above the sources or their compiled files. */
async function findRepository(): Promise<string> {
  for (const folder of [path.join(__dirname, '../..'), path.join(__dirname, '../../..')]) {
    const names = await fs.readdir(folder);
    if (names.includes('deploy')) return folder;
  }
  throw new Error(`${FILE} was not found above ${__dirname}`);
}

function readValue(text: string, key: string): string {
  const value = new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)?.[1];
  if (value === undefined) throw new Error(`${FILE}: ${key} is missing`);
  return value;
}

/** The deploy file of the platform: how the program is built, and with which command it runs. */
export class DeployFile {
  private constructor(
    /** Folder in which the commands run. */
    public readonly folder: string,
    /** Parameters of `node` in the command of the program. */
    public readonly nodeParameters: readonly string[],
    private readonly buildCommand: string,
    private readonly template: string,
  ) {}

  /** Reads the deploy file of this repository. */
  public static async read(): Promise<DeployFile> {
    const folder = await findRepository();
    const text = await fs.readFile(path.join(folder, FILE), 'utf8');
    const template = await fs.readFile(path.join(folder, readValue(text, 'template')), 'utf8');
    const [program, ...parameters] = readValue(text, 'run').split(' ');
    if (program !== 'node') throw new Error(`${FILE}: the program is not run by node`);
    return new DeployFile(folder, parameters, readValue(text, 'build'), template);
  }

  /**
   * Builds the program in a folder with links to the sources, so that runs at the same time do not
   * write over each other's program. Takes a few seconds.
   * @returns The deploy file of that folder.
   */
  public async buildIn(folder: string): Promise<DeployFile> {
    await fs.mkdir(folder, { recursive: true });
    await Promise.all(
      BUILD_INPUTS.map((name) => fs.symlink(path.join(this.folder, name), path.join(folder, name))),
    );
    const built = new DeployFile(folder, this.nodeParameters, this.buildCommand, this.template);
    await built.build();
    return built;
  }

  /** Returns the settings file of a process. */
  public settings(values: templates.TemplateValues): string {
    return templates.renderTemplate(this.template, values);
  }

  private build(): Promise<void> {
    return new Promise((resolve, reject) => {
      const options = { cwd: this.folder, maxBuffer: MAX_OUTPUT_BYTES };
      childProcess.exec(this.buildCommand, options, (error, _output, errors) => {
        if (error === null) resolve();
        else reject(new Error(`the build failed: ${errors}`));
      });
    });
  }
}
