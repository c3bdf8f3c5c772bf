/**
 * A task's inbox: messages are handled one at a time, in order, so that a task's
 * state needs no locks.
 */

/** Handles one message; the next waits until the promise resolves. */
export type MessageHandler<Message> = (
  message: Message,
) => void | Promise<void>;

/** Serial queue of typed messages. */
export class Mailbox<Message> {
  private readonly waiting: Message[] = [];
  private isDraining = false;
  private isClosed = false;

  private constructor(
    private readonly handle: MessageHandler<Message>,
    private readonly onFailure: (failure: unknown, message: Message) => void,
  ) {}

  /** `onFailure` receives what `handle` throws; the mailbox goes on. */
  static create<Message>(
    handle: MessageHandler<Message>,
    onFailure: (failure: unknown, message: Message) => void,
  ): Mailbox<Message> {
    return new Mailbox(handle, onFailure);
  }

  /** Number of messages that wait. */
  get size(): number {
    return this.waiting.length;
  }

  /** Adds a message; dropped after {@link close}. */
  post(message: Message): void {
    if (this.isClosed) return;
    this.waiting.push(message);
    if (!this.isDraining) void this.drain();
  }

  /** Handles no further messages. */
  close(): void {
    this.isClosed = true;
    this.waiting.length = 0;
  }

  private async drain(): Promise<void> {
    this.isDraining = true;
    for (
      let message = this.waiting.shift();
      message !== undefined;
      message = this.waiting.shift()
    ) {
      try {
        await this.handle(message);
      } catch (failure) {
        this.onFailure(failure, message);
      }
    }
    this.isDraining = false;
  }
}
