/** The part of postject that the build uses. */
declare module 'postject' {
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: {sentinelFuse: string},
  ): Promise<void>;
}
