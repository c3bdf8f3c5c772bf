import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Task} from '../src/index.js';
import {
  DuplicateRegistrationError,
  ERROR_MESSAGES,
  ErrorCode,
  Kernel,
  Mailbox,
  MissingProviderError,
  SettingsError,
  injectionKey,
} from '../src/index.js';

const NUMBER = injectionKey<number>('number');

function recordingTask(
  name: string,
  steps: string[],
  shouldFail = false,
): Task {
  return {
    name,
    start: () => {
      steps.push(`start ${name}`);
      if (shouldFail) throw new SettingsError(name, 'fails');
    },
    drain: () => {
      steps.push(`drain ${name}`);
    },
    stop: () => {
      steps.push(`stop ${name}`);
    },
  };
}

describe(Kernel.name, () => {
  it('starts tasks in order, then drains all of them before it stops them in reverse order', async () => {
    const steps: string[] = [];
    const kernel = Kernel.create({settings: {}});
    for (const name of ['one', 'two']) {
      kernel.use({
        name,
        install: target => target.addTask(recordingTask(name, steps)),
      });
    }
    await kernel.start();
    await kernel.stop();
    expect(steps).toEqual([
      'start one',
      'start two',
      'drain two',
      'drain one',
      'stop two',
      'stop one',
    ]);
  });

  it('stops the tasks already started when a later one fails to start', async () => {
    const steps: string[] = [];
    const kernel = Kernel.create({settings: {}});
    kernel.addTask(recordingTask('good', steps));
    kernel.addTask(recordingTask('bad', steps, true));
    await expect(kernel.start()).toBeRejectedWith(SettingsError);
    expect(steps.at(-1)).toEqual('stop good');
  });

  it('rejects duplicate plug-ins and services, and services without a provider', () => {
    const kernel = Kernel.create({settings: {}});
    kernel.use({name: 'plug-in', install: () => {}});
    expect(() => kernel.use({name: 'plug-in', install: () => {}})).toThrow(
      DuplicateRegistrationError,
    );
    expect(() => kernel.inject(NUMBER)).toThrow(MissingProviderError);
    kernel.provide(NUMBER, 1);
    expect(() => kernel.provide(NUMBER, 2)).toThrow(DuplicateRegistrationError);
    expect(kernel.inject(NUMBER)).toEqual(1);
  });

  it('rejects tables of the settings that no plug-in reads', () => {
    const kernel = Kernel.create({settings: {known: {}, unknown: {}}});
    kernel.settings({name: 'known', parse: value => value});
    expect(() => kernel.rejectUnknownSettings()).toThrow(
      SettingsError,
      'unknown: unknown table, expected one of known',
    );
  });
});

describe(Mailbox.name, () => {
  it('handles one message at a time, in order, and continues after a failure', async () => {
    const handled: string[] = [];
    const failures: unknown[] = [];
    const mailbox = Mailbox.create<number>(
      async message => {
        handled.push(`begin ${message}`);
        await Promise.resolve();
        if (message === 2) throw new SettingsError('two', 'fails');
        handled.push(`end ${message}`);
      },
      failure => failures.push(failure),
    );
    for (const message of [1, 2, 3]) mailbox.post(message);
    await new Promise(resolve => setImmediate(resolve));
    expect(handled).toEqual([
      'begin 1',
      'end 1',
      'begin 2',
      'begin 3',
      'end 3',
    ]);
    expect(failures.length).toEqual(1);
  });
});

describe('error codes', () => {
  it('have exactly one message each', () => {
    expect(Object.keys(ERROR_MESSAGES).sort()).toEqual(
      Object.values(ErrorCode).sort(),
    );
  });
});
