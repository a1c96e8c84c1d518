(import 'exchange.libsonnet')(3)
