/** Sends and receives peer messages over HTTP, with TLS if the settings name a key pair. */

import type {Provider} from '@nestjs/common';
import {Controller, Inject, Post, Req, Res} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {Kernel} from '@siskinmux/kernel';
import type {HttpAgent} from '@siskinmux/adapters';
import {createAgent, send} from '@siskinmux/adapters';
import type {z} from 'zod';
import type {Listener} from '@siskinmux/runtime';
import {
  listen,
  privateListenerSchema,
  readKeyPair,
  settingsSection,
} from '@siskinmux/runtime';
import type {PeerTransport, ReceiveMessage} from './peers.js';

/** Maximum size of a message between nodes. */
const MESSAGE_LIMIT_BYTES = 4_000_000;

const section = settingsSection('peer', privateListenerSchema);

type PeerSettings = z.infer<typeof privateListenerSchema>;

/** Injectable wrapper of the function that handles received messages. */
export class MessageReceiver {
  private constructor(readonly receive: ReceiveMessage) {}

  static create(receive: ReceiveMessage): MessageReceiver {
    return new MessageReceiver(receive);
  }
}

/** HTTP route of the peer interface. */
@Controller()
export class PeerController {
  constructor(
    @Inject(MessageReceiver) private readonly receiver: MessageReceiver,
  ) {}

  /** Receives a JSON-RPC message. */
  @Post('rpc')
  async rpc(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const response = await this.receiver.receive(String(request.body ?? ''));
    if (response === undefined) {
      await reply.code(204).send();
      return;
    }
    await reply.code(200).type('application/json').send(response);
  }
}

/** Sends through undici and receives through NestJS on Fastify. */
export class HttpPeerTransport implements PeerTransport {
  private readonly agent: HttpAgent;
  private listener: Listener | undefined;

  private constructor(private readonly settings: PeerSettings) {
    this.agent = createAgent({
      tls: settings.tls && readKeyPair(settings.tls),
    });
  }

  /** Creates a transport from the `peer` table of the settings. */
  static create(kernel: Kernel): HttpPeerTransport {
    return new HttpPeerTransport(kernel.settings(section));
  }

  async send(
    address: string,
    text: string,
    signal: AbortSignal,
    onProgress?: (receivedBytes: number) => void,
  ): Promise<string> {
    const response = await send(this.agent, {
      method: 'POST',
      url: `${address}/rpc`,
      headers: {'content-type': 'application/json'},
      body: text,
      signal,
      onProgress,
      maximumResponseBytes: MESSAGE_LIMIT_BYTES,
    });
    return response.body;
  }

  async listen(receive: ReceiveMessage): Promise<string> {
    const receiver = MessageReceiver.create(receive);
    const providers: Provider[] = [
      {provide: MessageReceiver, useValue: receiver},
    ];
    this.listener = await listen({
      ...this.settings,
      bodyLimitBytes: MESSAGE_LIMIT_BYTES,
      controllers: [PeerController],
      providers,
    });
    return this.listener.url;
  }

  async close(): Promise<void> {
    await this.listener?.close();
  }

  async abandon(): Promise<void> {
    await this.listener?.abandon();
  }
}
