/** @file address.h Public header of address: conversion between numeric addresses and endpoints. */
#ifndef POLLENSTALL_ADDRESS_ADDRESS_H
#define POLLENSTALL_ADDRESS_ADDRESS_H

#include "address/address_func.h" // IWYU pragma: export

#endif // POLLENSTALL_ADDRESS_ADDRESS_H
